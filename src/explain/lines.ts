/**
 * Log lines of gateways, gathered by request.
 *
 * @module
 */
import * as z from "zod";

/** One choice of a server, or why there was none. */
export interface ChoiceLine {
  time: number;
  vm: string;
  service: string;
  region: string | undefined;
  server: string | undefined;
  use: number | undefined;
  isKnown: boolean | undefined;
  /** How full each region was, where the request was refused. */
  uses: Record<string, number> | undefined;
}

/** The end of one attempt. */
export interface AttemptLine {
  time: number;
  server: string;
  tookMs: number;
  isFirst: boolean;
  outcome: string;
}

/** How a request ended for its client. */
export interface EndLine {
  time: number;
  vm: string;
  tookMs: number;
  targetMs: number;
  outcome: string;
  reason: string | undefined;
}

/** All lines of one request. */
export interface RequestLines {
  requestId: string;
  choices: ChoiceLine[];
  attempts: AttemptLine[];
  end: EndLine | undefined;
}

/** A move of the shares of one VM's callers. */
export interface MoveLine {
  time: number;
  vm: string;
  service: string;
  moved: number;
  /** Servers were lost, which no pace holds for. */
  loss: number;
}

/** What a log tells of requests. */
export interface LogContent {
  requests: Map<string, RequestLines>;
  moves: MoveLine[];
}

const base = { time: z.number(), vm: z.string() };
const choiceSchema = z.object({
  ...base,
  requestId: z.string(),
  service: z.string(),
  region: z.string().optional(),
  server: z.string().optional(),
  use: z.number().optional(),
  isKnown: z.boolean().optional(),
  uses: z.record(z.string(), z.number()).optional(),
});
const attemptSchema = z.object({
  ...base,
  requestId: z.string(),
  server: z.string(),
  tookMs: z.number(),
  isFirst: z.boolean().default(false),
  outcome: z.string(),
});
const endSchema = z.object({
  ...base,
  requestId: z.string(),
  tookMs: z.number().default(0),
  targetMs: z.number().default(Infinity),
  outcome: z.string(),
  reason: z.string().optional(),
});
const moveSchema = z.object({
  ...base,
  service: z.string(),
  moved: z.number(),
  loss: z.number(),
});

/**
 * @param lines Lines of any gateways, in any order; text before a line's first
 *   brace is skipped, as are lines that are none of a gateway's.
 * @returns What they tell of requests.
 */
export function gatherLines(lines: Iterable<string>): LogContent {
  const content: LogContent = { requests: new Map(), moves: [] };
  for (const line of lines) addLine(content, line);
  return content;
}

function addLine(content: LogContent, line: string): void {
  const fields = parseLine(line);
  switch (fields?.msg) {
    case "choose":
      return addTo(content, choiceSchema, fields, "choices");
    case "attempt ended":
      return addTo(content, attemptSchema, fields, "attempts");
    case "request ended": {
      const { success, data } = endSchema.safeParse(fields);
      if (success) {
        getRequest(content, data.requestId).end = {
          ...data,
          reason: data.reason,
        };
      }
      return;
    }
    case "region shares moved": {
      const { success, data } = moveSchema.safeParse(fields);
      if (success) content.moves.push(data);
    }
  }
}

function addTo<K extends "choices" | "attempts">(
  content: LogContent,
  schema: z.ZodType<{ requestId: string }>,
  fields: Record<string, unknown>,
  kind: K,
): void {
  const { success, data } = schema.safeParse(fields);
  if (!success) return;
  const list = getRequest(content, data.requestId)[kind] as unknown[];
  list.push(data);
}

function getRequest(content: LogContent, requestId: string): RequestLines {
  const known = content.requests.get(requestId);
  if (known !== undefined) return known;
  const request = { requestId, choices: [], attempts: [], end: undefined };
  content.requests.set(requestId, request);
  return request;
}

function parseLine(line: string): Record<string, unknown> | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start));
  } catch {
    // A line of another program, or one that was cut.
    return undefined;
  }
}
