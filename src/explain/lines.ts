/**
 * Log lines of gateways, gathered by request.
 *
 * @module
 */
import * as z from "zod";

const commonFields = { time: z.number(), vm: z.string() };

const choiceSchema = z.object({
  ...commonFields,
  requestId: z.string(),
  service: z.string(),
  /** Absent where no region could serve. */
  region: z.string().optional(),
  /** Absent where there was none that could take it. */
  server: z.string().optional(),
  /** Load of the server, in requests a slot. */
  use: z.number().optional(),
  /** Requests that it runs at once. */
  slots: z.number().optional(),
  isKnown: z.boolean().optional(),
  /** How full each region was, where the request was refused. */
  uses: z.record(z.string(), z.number()).optional(),
});

const attemptSchema = z.object({
  ...commonFields,
  requestId: z.string(),
  server: z.string(),
  tookMs: z.number(),
  /** Whether the server had not been asked for the object before. */
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
  /** Part of the requests whose servers were lost, which no pace holds for. */
  loss: z.number(),
});

const cutSchema = z.object({
  ...commonFields,
  requestId: z.string(),
  /** The same for each repeat of the request. */
  request: z.string(),
  method: z.string(),
  path: z.string(),
  server: z.string(),
  /** Whether the server ended, or only the connection. */
  verdict: z.string(),
});

/** One choice of a server, or why there was none. */
export type ChoiceLine = z.infer<typeof choiceSchema>;
/** The end of one attempt. */
export type AttemptLine = z.infer<typeof attemptSchema>;
/** A connection that ended without an answer. */
export type CutLine = z.infer<typeof cutSchema>;
/** How a request ended for its client. */
export type EndLine = z.infer<typeof endSchema>;
/** A move of the shares of one VM's callers. */
export type MoveLine = z.infer<typeof moveSchema>;

/** All lines of one request. */
export interface RequestLines {
  choices: ChoiceLine[];
  attempts: AttemptLine[];
  end: EndLine | undefined;
}

/** What a log tells of requests. */
export interface LogContent {
  /** By id. */
  requests: Map<string, RequestLines>;
  moves: MoveLine[];
  cuts: CutLine[];
}

/**
 * @param lines Lines of any gateways, in any order; text before a line's first
 *   brace is skipped, as are lines that are none of a gateway's.
 * @returns What they tell of requests.
 */
export function parseLogLines(lines: Iterable<string>): LogContent {
  const content: LogContent = { requests: new Map(), moves: [], cuts: [] };
  for (const line of lines) addLine(content, parseLine(line));
  return content;
}

function addLine(
  content: LogContent,
  fields: Record<string, unknown> | undefined,
): void {
  switch (fields?.msg) {
    case "choose": {
      const choice = parseAs(choiceSchema, fields);
      if (choice === undefined) return;
      getOrAddRequest(content, choice.requestId).choices.push(choice);
      return;
    }
    case "attempt ended": {
      const attempt = parseAs(attemptSchema, fields);
      if (attempt === undefined) return;
      getOrAddRequest(content, attempt.requestId).attempts.push(attempt);
      return;
    }
    case "request ended": {
      const end = parseAs(endSchema, fields);
      if (end !== undefined) getOrAddRequest(content, end.requestId).end = end;
      return;
    }
    case "region shares moved": {
      const move = parseAs(moveSchema, fields);
      if (move !== undefined) content.moves.push(move);
      return;
    }
    case "connection cut": {
      const cut = parseAs(cutSchema, fields);
      if (cut !== undefined) content.cuts.push(cut);
    }
  }
}

/** Lines that lack fields are other programs' or of another version. */
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
    // A line of another program, or one that was cut.
    return undefined;
  }
}
