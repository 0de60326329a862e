/**
 * Parses log lines of gateways and groups them by request.
 *
 * @module
 */
import * as z from "zod";

const commonFields = { time: z.number(), vm: z.string() };

const choiceSchema = z.object({
  ...commonFields,
  requestId: z.string(),
  service: z.string(),
  /** Absent if no region could serve the request. */
  region: z.string().optional(),
  /** Absent if no server could take the request. */
  server: z.string().optional(),
  /** Estimated utilization of the server, in requests per slot. */
  use: z.number().optional(),
  /** Requests that the server runs concurrently. */
  slots: z.number().optional(),
  /** Whether the server was estimated to have cached the object. */
  isKnown: z.boolean().optional(),
  /** Utilization by region, if the request was refused. */
  uses: z.record(z.string(), z.number()).optional(),
  /** Slots of each server that were left free for more urgent requests. */
  slotsLeftFree: z.number().default(0),
});

const attemptSchema = z.object({
  ...commonFields,
  requestId: z.string(),
  server: z.string(),
  tookMs: z.number(),
  /** Whether it is the first request of the object at the server. */
  isFirst: z.boolean().default(false),
  outcome: z.string(),
});

const endSchema = z.object({
  ...commonFields,
  requestId: z.string(),
  tookMs: z.number().default(0),
  targetMs: z.number().default(Infinity),
  outcome: z.string(),
  reason: z.string().optional(),
});

const moveSchema = z.object({
  ...commonFields,
  service: z.string(),
  moved: z.number(),
  /** Share of the requests whose servers were lost; no shift cap applies. */
  loss: z.number(),
});

const cutSchema = z.object({
  ...commonFields,
  requestId: z.string(),
  /** Fingerprint, the same for each repeat of the request. */
  request: z.string(),
  method: z.string(),
  path: z.string(),
  server: z.string(),
  /** Whether the server crashed or only the connection closed. */
  verdict: z.string(),
});

/** Choice of a server, or the reason why there was none. */
export type ChoiceLine = z.infer<typeof choiceSchema>;
/** The end of one attempt. */
export type AttemptLine = z.infer<typeof attemptSchema>;
/** A connection that was cut before the answer. */
export type CutLine = z.infer<typeof cutSchema>;
/** Outcome of a request for its client. */
export type EndLine = z.infer<typeof endSchema>;
/** A shift of the traffic of one VM's callers between regions. */
export type MoveLine = z.infer<typeof moveSchema>;

/** All lines of one request. */
export interface RequestLines {
  choices: ChoiceLine[];
  attempts: AttemptLine[];
  end: EndLine | undefined;
}

/** Parsed logs. */
export interface LogContent {
  /** Log lines by request id. */
  requests: Map<string, RequestLines>;
  moves: MoveLine[];
  cuts: CutLine[];
}

/** Lines of gateways that are kept at most, some 1 GB. */
export const MAX_LOG_LINES = 2_000_000;

/** Parsed logs, and whether they are whole. */
export interface StreamedLogContent {
  content: LogContent;
  /** Whether lines were left unread because there were too many. */
  isCut: boolean;
}

/**
 * Parses log lines as they are read; see `parseLogLines`.
 *
 * @param lines Lines of any gateways, in any order; they may have no end.
 * @param maxLines Lines of gateways that are kept at most.
 * @returns The parsed lines.
 */
export async function parseLogStream(
  lines: AsyncIterable<string>,
  maxLines = MAX_LOG_LINES,
): Promise<StreamedLogContent> {
  const content = createLogContent();
  let count = 0;
  for await (const line of lines) {
    if (count >= maxLines) return { content, isCut: true };
    if (addFields(content, parseLine(line))) count++;
  }
  return { content, isCut: false };
}

function createLogContent(): LogContent {
  return { requests: new Map(), moves: [], cuts: [] };
}

/**
 * Parses log lines. Text before the first brace of a line is skipped, as are
 * lines that no gateway wrote.
 *
 * @param lines Lines of any gateways, in any order.
 * @returns The parsed lines.
 */
export function parseLogLines(lines: Iterable<string>): LogContent {
  const content = createLogContent();
  for (const line of lines) addFields(content, parseLine(line));
  return content;
}

/** @returns Whether the fields are those of a gateway's line. */
function addFields(
  content: LogContent,
  fields: Record<string, unknown> | undefined,
): boolean {
  switch (fields?.msg) {
    case "choose": {
      const choice = parseAs(choiceSchema, fields);
      if (choice === undefined) return false;
      getOrAddRequest(content, choice.requestId).choices.push(choice);
      return true;
    }
    case "attempt ended": {
      const attempt = parseAs(attemptSchema, fields);
      if (attempt === undefined) return false;
      getOrAddRequest(content, attempt.requestId).attempts.push(attempt);
      return true;
    }
    case "request ended": {
      const end = parseAs(endSchema, fields);
      if (end === undefined) return false;
      getOrAddRequest(content, end.requestId).end = end;
      return true;
    }
    case "region shares moved": {
      const move = parseAs(moveSchema, fields);
      if (move !== undefined) content.moves.push(move);
      return move !== undefined;
    }
    case "connection cut": {
      const cut = parseAs(cutSchema, fields);
      if (cut !== undefined) content.cuts.push(cut);
      return cut !== undefined;
    }
    default:
      return false;
  }
}

/** @returns Undefined for lines of other programs or versions. */
function parseAs<T>(schema: z.ZodType<T>, fields: unknown): T | undefined {
  return schema.safeParse(fields).data;
}

function getOrAddRequest(content: LogContent, requestId: string): RequestLines {
  const existing = content.requests.get(requestId);
  if (existing !== undefined) return existing;
  const request = { choices: [], attempts: [], end: undefined };
  content.requests.set(requestId, request);
  return request;
}

function parseLine(line: string): Record<string, unknown> | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start));
  } catch {
    // A line of another program, or a truncated one.
    return undefined;
  }
}
