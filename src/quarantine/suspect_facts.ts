/**
 * Facts that VMs exchange about requests under which servers crashed.
 *
 * @module
 */
import type { Fact, FactUpdate } from "../news/types.ts";
import { makeVersion } from "../news/version.ts";

type CrashFact = Omit<Extract<Fact, { kind: "server_end" }>, "kind">;

/** A crash fact never changes; its removal is its second version. */
const CRASH_VERSION = 1;
const CRASH_REMOVAL_VERSION = 2;

/**
 * @param crash The request, its round, and the server that crashed under it.
 * @returns The update that publishes the crash.
 */
export function makeCrashUpdate(crash: CrashFact): FactUpdate {
  return {
    topic: "suspects",
    key: makeCrashKey(crash.request, crash.round, crash.server),
    version: makeVersion(CRASH_VERSION),
    fact: { kind: "server_end", ...crash },
  };
}

/**
 * @param request Fingerprint of a request that was answered.
 * @param round The round that the answer starts.
 * @returns The update that publishes the answer; the latest round wins.
 */
export function makeAnswerUpdate(request: string, round: number): FactUpdate {
  return {
    topic: "suspects",
    key: makeAnswerKey(request),
    version: makeVersion(2 * round),
    fact: { kind: "request_answered", request, round },
  };
}

/**
 * @param request Fingerprint of the request.
 * @param round The round of the crash.
 * @param server Id of the server's start.
 * @returns The update that removes the fact of a crash.
 */
export function makeCrashRemoval(
  request: string,
  round: number,
  server: string,
): FactUpdate {
  const key = makeCrashKey(request, round, server);
  return {
    topic: "suspects",
    key,
    version: makeVersion(CRASH_REMOVAL_VERSION),
  };
}

/**
 * @param request Fingerprint of the request.
 * @param round The round that the answer started.
 * @returns The update that removes the fact of an answer, unless a later round
 *   has replaced it.
 */
export function makeAnswerRemoval(request: string, round: number): FactUpdate {
  const version = makeVersion(2 * round + 1);
  return { topic: "suspects", key: makeAnswerKey(request), version };
}

function makeCrashKey(request: string, round: number, server: string): string {
  return `server_end/${request}/${round}/${server}`;
}

function makeAnswerKey(request: string): string {
  return `request_answered/${request}`;
}
