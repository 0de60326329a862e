/**
 * What VMs tell each other of requests under which servers ended.
 *
 * @module
 */
import type { Fact, FactUpdate } from "../news/types.ts";
import { makeVersion } from "../news/version.ts";

type EndFact = Omit<Extract<Fact, { kind: "server_end" }>, "kind">;

/** An end never changes; forgetting it is its second version. */
const END_VERSION = 1;
const FORGOTTEN_END_VERSION = 2;

/**
 * @param end The request, its round, and the server that ended under it.
 * @returns The news of it.
 */
export function toEndNews(end: EndFact): FactUpdate {
  return {
    topic: "suspects",
    key: nameEnd(end.request, end.round, end.server),
    version: makeVersion(END_VERSION),
    fact: { kind: "server_end", ...end },
  };
}

/**
 * @param request A request that was answered.
 * @param round The round that begins.
 * @returns The news of it; of several the latest round holds.
 */
export function toAnswerNews(request: string, round: number): FactUpdate {
  return {
    topic: "suspects",
    key: nameAnswer(request),
    version: makeVersion(2 * round),
    fact: { kind: "request_answered", request, round },
  };
}

/** @returns The news that an end is over. */
export function forgetEnd(
  request: string,
  round: number,
  server: string,
): FactUpdate {
  const key = nameEnd(request, round, server);
  return {
    topic: "suspects",
    key,
    version: makeVersion(FORGOTTEN_END_VERSION),
  };
}

/** @returns The news that a round is over; a later one is not. */
export function forgetAnswer(request: string, round: number): FactUpdate {
  const version = makeVersion(2 * round + 1);
  return { topic: "suspects", key: nameAnswer(request), version };
}

function nameEnd(request: string, round: number, server: string): string {
  return `server_end/${request}/${round}/${server}`;
}

function nameAnswer(request: string): string {
  return `request_answered/${request}`;
}
