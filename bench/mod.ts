/**
 * `npm run bench [NAME...]`: runs benchmarks and prints tables; asserts nothing.
 *
 * @module
 */
import process from "node:process";
import { benchLimits, benchServerLimits } from "./limits.ts";
import { benchRequestPath } from "./request_path.ts";
import { benchSlopes } from "./slopes/mod.ts";
import { benchSteering } from "./steering/mod.ts";

const BENCHES: Record<string, () => void | Promise<void>> = {
  limits: benchLimits,
  server_limits: benchServerLimits,
  request_path: benchRequestPath,
  slopes: benchSlopes,
  steering: benchSteering,
};

const names = process.argv.slice(2);
for (const name of names.length > 0 ? names : Object.keys(BENCHES)) {
  const bench = BENCHES[name];
  if (bench === undefined) {
    const known = Object.keys(BENCHES).join(", ");
    process.stderr.write(`No bench is named "${name}"; known: ${known}\n`);
    process.exit(2);
  }
  process.stderr.write(`bench ${name}\n`);
  await bench();
}
