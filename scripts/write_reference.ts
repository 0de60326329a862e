/**
 * Generates `docs/REFERENCE.md` from the schemas; `--check` only compares.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { z } from "zod";
import { fleetSchema, serviceSchema } from "../src/config/schema.ts";
import { daemonSettingsSchema } from "../src/runtime/settings.ts";

const FILE = new URL("../docs/REFERENCE.md", import.meta.url);

interface JsonSchema {
  type?: string;
  description?: string;
  default?: unknown;
  enum?: unknown[];
  properties?: Record<string, JsonSchema>;
  required?: string[];
  items?: JsonSchema;
  minimum?: number;
  maximum?: number;
  exclusiveMinimum?: number;
  pattern?: string;
  additionalProperties?: JsonSchema | boolean;
}

function describeAllowed(schema: JsonSchema): string {
  if (schema.enum) return schema.enum.join(", ");
  const rules: string[] = [schema.type ?? "any"];
  if (schema.minimum !== undefined) rules.push(`at least ${schema.minimum}`);
  if (schema.exclusiveMinimum !== undefined) {
    rules.push(`above ${schema.exclusiveMinimum}`);
  }
  if (schema.maximum !== undefined) rules.push(`at most ${schema.maximum}`);
  return rules.join(", ");
}

function listRows(schema: JsonSchema, path: string): string[] {
  const required = new Set(schema.required ?? []);
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const fieldPath = path === "" ? name : `${path}.${name}`;
    const isOptional = !required.has(name) || field.default !== undefined;
    const defaultText = field.default === undefined
      ? (isOptional ? "absent" : "required")
      : JSON.stringify(field.default);
    const row = `| \`${fieldPath}\` | ${describeAllowed(field)} | ` +
      `${defaultText} | ${field.description ?? ""} |`;
    return [
      row,
      ...listRows(field, fieldPath),
      ...(field.items ? listRows(field.items, `${fieldPath}[]`) : []),
    ];
  });
}

function makeSection(title: string, schema: z.ZodType): string {
  const json = z.toJSONSchema(schema, {
    io: "input",
    unrepresentable: "any",
  }) as JsonSchema;
  return [
    `## ${title}`,
    "",
    "| field | allowed | default | meaning |",
    "| --- | --- | --- | --- |",
    ...listRows(json, ""),
    "",
  ].join("\n");
}

const page = [
  "# Reference of documents and settings",
  "",
  "Generated from the schemas by `npm run docs`; do not edit.",
  "",
  makeSection("A service's document", serviceSchema),
  makeSection("The fleet's document", fleetSchema),
  makeSection("Settings of steer and entry", daemonSettingsSchema),
].join("\n");

if (process.argv.includes("--check")) {
  if (readFileSync(FILE, "utf8") !== page) {
    process.stderr.write("docs/REFERENCE.md is stale: run npm run docs\n");
    process.exitCode = 1;
  }
} else writeFileSync(FILE, page);
