/**
 * Registry of idempotency keys: dispatches each key at most once and replays its
 * first answer. Pure; memory is bounded.
 *
 * The keys of an epoch are removed together. From then on they are rejected by
 * their epoch alone, so removing a key cannot cause it to run again.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type IdempotencyKey, RETAINED_EPOCHS } from "./keys.ts";
import type { Answer, Outcome } from "./types.ts";

/** Maximum number of keys; beyond it, new keys are refused as not run. */
export const MAX_KEYS = 200_000;
/**
 * Maximum size of all stored answers, in bytes; beyond it, the registry stores
 * only that a key ran.
 */
export const MAX_ANSWER_BYTES = 67_108_864;
/** Repetitions of one key that wait for the outcome of its first use. */
const MAX_WAITING = 1_000;
/** Longer reasons are cut. */
const MAX_REASON_LENGTH = 200;

type KeyState =
  | { state: "running"; waiting: ((outcome: Outcome) => void)[] }
  | { state: "answered"; answer: Answer | undefined }
  | { state: "unknown"; reason: string };

interface KeyRecord {
  fingerprint: string;
  current: KeyState;
}

/** How to handle a request with a key. */
export type KeyDecision =
  /** First use: dispatch the request, then call `finish`. */
  | { decision: "run" }
  /** Already dispatched: `outcome` resolves to its outcome. */
  | { decision: "replay"; outcome: Promise<Outcome> }
  /** Already used with another service, method, path or body. */
  | { decision: "mismatch" }
  /** Its epoch is too old or too new: the request may have run. */
  | { decision: "expired" }
  /** The registry holds its maximum number of keys. */
  | { decision: "full" };

/** Registry of the idempotency keys of one entry process. */
export interface KeyRegistry {
  /**
   * Registers the use of a key.
   *
   * @param key A key of this process's incarnation.
   * @param fingerprint Hash of service, method, path and body.
   * @param epoch Current key epoch by the wall clock.
   * @returns How to handle the request.
   */
  begin(key: IdempotencyKey, fingerprint: string, epoch: number): KeyDecision;
  /**
   * Stores the outcome of a key and passes it to waiting repetitions.
   *
   * @param key A key for which `begin` returned `run`.
   * @param outcome How its request ended; `not_run` frees the key.
   */
  finish(key: IdempotencyKey, outcome: Outcome): void;
  /** @returns Number of keys held. */
  size(): number;
}

/** Limits of a registry's memory. */
export interface KeyRegistryLimits {
  maxKeys: number;
  maxAnswerBytes: number;
}

const DEFAULT_LIMITS: KeyRegistryLimits = {
  maxKeys: MAX_KEYS,
  maxAnswerBytes: MAX_ANSWER_BYTES,
};

/**
 * @param limits Limits of its memory.
 * @returns An empty registry.
 */
export function createKeyRegistry(
  limits: KeyRegistryLimits = DEFAULT_LIMITS,
): KeyRegistry {
  const epochs = new Map<number, Map<string, KeyRecord>>();
  let newestEpoch = 0;
  let keyCount = 0;
  let answerBytes = 0;

  /** Never lowers the newest epoch, even if the wall clock is set back. */
  function expireEpochs(epoch: number): void {
    newestEpoch = Math.max(newestEpoch, epoch);
    for (const [oldEpoch, records] of epochs) {
      if (oldEpoch >= newestEpoch - RETAINED_EPOCHS) continue;
      keyCount -= records.size;
      for (const { current } of records.values()) {
        answerBytes -= getAnswerBytes(current);
      }
      epochs.delete(oldEpoch);
    }
  }

  function begin(
    key: IdempotencyKey,
    fingerprint: string,
    epoch: number,
  ): KeyDecision {
    expireEpochs(epoch);
    const isAccepted = key.epoch >= newestEpoch - RETAINED_EPOCHS &&
      key.epoch <= newestEpoch + 1;
    if (!isAccepted) return { decision: "expired" };
    const records = epochs.get(key.epoch) ?? new Map<string, KeyRecord>();
    epochs.set(key.epoch, records);
    const existing = records.get(key.text);
    if (existing === undefined) {
      if (keyCount >= limits.maxKeys) return { decision: "full" };
      const current: KeyState = { state: "running", waiting: [] };
      records.set(key.text, { fingerprint, current });
      keyCount += 1;
      return { decision: "run" };
    }
    if (existing.fingerprint !== fingerprint) return { decision: "mismatch" };
    return { decision: "replay", outcome: replay(existing.current) };
  }

  function finish(key: IdempotencyKey, outcome: Outcome): void {
    const records = epochs.get(key.epoch);
    const record = records?.get(key.text);
    if (records === undefined || record === undefined) return;
    const previous = record.current;
    if (previous.state === "answered") return;
    if (outcome.kind === "not_run") {
      records.delete(key.text);
      keyCount -= 1;
    } else if (outcome.kind === "unknown") {
      record.current = { state: "unknown", reason: copyReason(outcome.reason) };
    } else {
      record.current = storeAnswer(outcome.answer);
    }
    if (previous.state !== "running") return;
    for (const resolve of previous.waiting) resolve(outcome);
  }

  function storeAnswer(answer: Answer): KeyState {
    const sizeBytes = measureAnswer(answer);
    const fits = answerBytes + sizeBytes <= limits.maxAnswerBytes;
    if (!fits) return { state: "answered", answer: undefined };
    answerBytes += sizeBytes;
    return { state: "answered", answer };
  }

  return { begin, finish, size: () => keyCount };
}

function getAnswerBytes(current: KeyState): number {
  if (current.state !== "answered") return 0;
  return current.answer === undefined ? 0 : measureAnswer(current.answer);
}

/** A server may send a body of one byte with a long content type. */
function measureAnswer({ body, contentType, serverId }: Answer): number {
  return body.length + (contentType?.length ?? 0) + serverId.length;
}

/** Copies a reason: a part of a string keeps the whole string. */
function copyReason(reason: string): string {
  return Buffer.from(reason.slice(0, MAX_REASON_LENGTH)).toString();
}

function replay(current: KeyState): Promise<Outcome> {
  switch (current.state) {
    case "running":
      if (current.waiting.length >= MAX_WAITING) {
        return Promise.resolve({
          kind: "unknown",
          reason: "Too many repetitions wait for its outcome",
          retryAfterS: 1,
        });
      }
      return new Promise((resolve) => current.waiting.push(resolve));
    case "unknown":
      return Promise.resolve({
        kind: "unknown",
        reason: current.reason,
        retryAfterS: 1,
      });
    case "answered":
      if (current.answer) {
        return Promise.resolve({ kind: "answer", answer: current.answer });
      }
      return Promise.resolve({
        kind: "unknown",
        reason: "It ran, but its answer is no longer kept",
        retryAfterS: 1,
      });
  }
}
