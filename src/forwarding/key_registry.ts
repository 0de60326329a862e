/**
 * Remembers idempotency keys, so that each is dispatched at most once and its
 * first answer is given again. Pure; memory is bounded.
 *
 * Keys of an epoch are forgotten together, and from then on refused by their
 * epoch alone, so forgetting can't let a key run again.
 *
 * @module
 */
import { type IdempotencyKey, RETAINED_EPOCHS } from "./keys.ts";
import type { Answer, Outcome } from "./types.ts";

/** Keys remembered at most; beyond, new ones are refused as not run. */
export const MAX_KEYS = 200_000;
/** Bytes of answers kept at most; beyond, only that they ran is known. */
export const MAX_ANSWER_BYTES = 67_108_864;

type KeyState =
  | { state: "running"; waiting: ((outcome: Outcome) => void)[] }
  | { state: "answered"; answer: Answer | undefined }
  | { state: "unknown"; reason: string };

interface KeyRecord {
  fingerprint: string;
  current: KeyState;
}

/** What may be done with a key. */
export type KeyDecision =
  /** First use: dispatch it, then call `finish`. */
  | { decision: "run" }
  /** Already dispatched: this is, or will be, its outcome. */
  | { decision: "replay"; outcome: Promise<Outcome> }
  /** Used before with another method, path or body. */
  | { decision: "mismatch" }
  /** Its epoch is no longer, or not yet, accepted: it may have run. */
  | { decision: "expired" }
  /** No memory for another key. */
  | { decision: "full" };

/** The keys of one entry process. */
export interface KeyRegistry {
  /**
   * @param key A key of this process's incarnation.
   * @param fingerprint Hash of method, path and body.
   * @param epoch Current epoch by the wall clock.
   * @returns What may be done.
   */
  begin(key: IdempotencyKey, fingerprint: string, epoch: number): KeyDecision;
  /**
   * @param key A key whose `begin` said `run`.
   * @param outcome How its request ended; `not_run` frees the key.
   */
  finish(key: IdempotencyKey, outcome: Outcome): void;
  /** Keys remembered. */
  size(): number;
}

/** Bounds of the memory. */
export interface KeyRegistryLimits {
  maxKeys: number;
  maxAnswerBytes: number;
}

const DEFAULT_LIMITS: KeyRegistryLimits = {
  maxKeys: MAX_KEYS,
  maxAnswerBytes: MAX_ANSWER_BYTES,
};

/**
 * @param limits Bounds of the memory.
 * @returns An empty registry.
 */
export function createKeyRegistry(
  limits: KeyRegistryLimits = DEFAULT_LIMITS,
): KeyRegistry {
  const epochs = new Map<number, Map<string, KeyRecord>>();
  let newestEpoch = 0;
  let keyCount = 0;
  let answerBytes = 0;

  /** The newest epoch only rises, also when the wall clock is set back. */
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
      record.current = { state: "unknown", reason: outcome.reason };
    } else {
      record.current = storeAnswer(outcome.answer);
    }
    if (previous.state !== "running") return;
    for (const resolve of previous.waiting) resolve(outcome);
  }

  function storeAnswer(answer: Answer): KeyState {
    const fits = answerBytes + answer.body.length <= limits.maxAnswerBytes;
    if (!fits) return { state: "answered", answer: undefined };
    answerBytes += answer.body.length;
    return { state: "answered", answer };
  }

  return { begin, finish, size: () => keyCount };
}

function getAnswerBytes(current: KeyState): number {
  if (current.state !== "answered") return 0;
  return current.answer?.body.length ?? 0;
}

function replay(current: KeyState): Promise<Outcome> {
  switch (current.state) {
    case "running":
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
