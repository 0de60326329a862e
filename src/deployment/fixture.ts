/**
 * Fixture of tests over real sockets: a small deployment and a wait function.
 *
 * @module
 */
import process from "node:process";
import { createSystemClock, pause } from "../runtime/clock.ts";
import { type Deployment, deploymentSchema } from "./types.ts";

const clock = createSystemClock();

/** Name of the only service of the small deployment. */
export const SERVICE = "enrol";

/**
 * @returns Second octet of addresses; by process id, so that parallel runs
 * rarely clash.
 */
export function pickAddressBase(): number {
  return 201 + process.pid % 50;
}

/**
 * Makes a deployment of two regions with one failure domain each, with two
 * entry VMs and two backend servers in each failure domain.
 *
 * @returns The deployment.
 */
export function makeSmallDeployment(): Deployment {
  const region = (name: string, clientPrefix: string) => ({
    name,
    failureDomains: [{ name: `${name}-1`, entryVms: 2 }],
    demandShare: 0.5,
    clientPrefix,
  });
  return deploymentSchema.parse({
    name: "small",
    regions: [region("thies", "10.1"), region("kaolack", "10.2")],
    withinRegionOneWayMs: 1,
    betweenRegionsOneWayMs: 5,
    linkLimitBytesPerS: 1_000_000,
    clientBlocksPerRegion: 64,
    requestsPerS: 20,
    services: [{
      backendServers: 4,
      slots: 4,
      connections: 40,
      serviceMs: 20,
      share: 1,
      mix: [{
        class: "booking",
        method: "POST",
        path: "/entries",
        share: 1,
        deadlineMs: 3_000,
      }],
      document: {
        service: SERVICE,
        shiftCap: { maxShare: 0.1, windowS: 10 },
        answerTtlMs: 300,
        coldStart: { rampS: 0 },
        classes: [
          {
            name: "booking",
            methods: ["POST"],
            weight: 2,
            deadlineMs: 3_000,
            idempotent: false,
          },
          {
            name: "lookup",
            methods: ["GET"],
            deadlineMs: 3_000,
            idempotent: true,
          },
        ],
      },
    }],
  });
}

/**
 * Polls a condition until it holds, at most 400 times at intervals of 50 ms;
 * the limit allows for a heavily loaded machine.
 *
 * @param isDone The condition.
 * @throws Error where the condition doesn't hold in time.
 */
export async function waitUntil(
  isDone: () => Promise<boolean> | boolean,
): Promise<void> {
  for (let tries = 0; tries < 400; tries++) {
    if (await isDone()) return;
    await pause(clock, 50);
  }
  throw new Error("The condition did not hold in time");
}
