/**
 * Limits the bytes of request and answer bodies that this VM holds.
 *
 * A body counts from its admission until the client has taken the answer or has
 * disconnected. Requests are admitted or refused at once; only answers that
 * servers have begun to send may wait for room.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import type { Log } from "../telemetry/log.ts";

/** Options of a body budget. */
export interface BodyBudgetOptions {
  clock: Clock;
  log: Log;
  random: Random;
  /** Most bytes to hold; undefined for no limit. */
  limitBytes: number | undefined;
}

/** Use of a body budget. */
export interface BodyBudgetStats {
  heldBytes: number;
  /** Undefined without a limit. */
  limitBytes: number | undefined;
  /** Answers that wait in their servers' connections. */
  waitingAnswers: number;
  /** Requests refused since the start. */
  refusedRequests: number;
  /** Answers that were read without room after their wait, since the start. */
  overdrawnAnswers: number;
  /** Connections closed because the client stopped reading, since the start. */
  stalledClients: number;
  /** Whether a body lacked room lately. */
  isShort: boolean;
}

/** The bytes held for one request. */
export interface BodyHold {
  /**
   * Holds bytes for the body of the request, instead of those held for it.
   *
   * @param bytes Size of the body.
   * @returns Whether there was room; if not, nothing changes.
   */
  tryHoldRequest(bytes: number): boolean;
  /**
   * Holds bytes for the answer, instead of those held for it.
   *
   * @param bytes Size of the answer, expected or declared.
   * @returns Whether there was room; if not, nothing changes.
   */
  tryHoldAnswer(bytes: number): boolean;
  /**
   * Holds bytes for an answer though there is no room, as far as the memory of
   * the VM allows.
   *
   * @param bytes Size of the answer so far.
   * @returns Whether they are held; if not, nothing changes.
   */
  overdrawAnswer(bytes: number): boolean;
  /**
   * Holds bytes for an answer as soon as there is room, and overdraws when half
   * of the request's time has passed.
   *
   * @param bytes Declared size of the answer.
   * @param onEnd Called once, when the wait is over, with whether the bytes are
   *   held.
   * @returns A function that ends the wait.
   */
  awaitAnswerRoom(bytes: number, onEnd: (isHeld: boolean) => void): () => void;
  /** Replaces all held bytes by those of the answer to deliver. */
  replaceByAnswer(bytes: number): void;
  /** Gives all bytes back; later calls of other methods have no effect. */
  release(): void;
}

/** The bytes of bodies that this VM holds. */
export interface BodyBudget {
  /** Whether there is a limit. */
  isLimited: boolean;
  /**
   * @param deadlineAtMs Time by which the request has to end, on the monotonic
   *   clock.
   * @returns A hold of no bytes.
   */
  open(deadlineAtMs: number): BodyHold;
  /**
   * Counts a refused request.
   *
   * @param bytes Size for which there is no room.
   * @param maxMs Longest time to return.
   * @returns When there may be room, from the rate at which bytes are released.
   */
  refuse(bytes: number, maxMs: number): number;
  /** Counts a connection that was closed because its client stopped reading. */
  countStalledClient(): void;
  /** @returns The current use. */
  getStats(): BodyBudgetStats;
}

/**
 * Bodies from this size on are limited more strictly. Smaller ones usually fit
 * into the buffers of a socket.
 */
export const LARGE_BODY_BYTES = 16_384;
/**
 * Part of a VM's memory for bodies. The process takes up to 74 MB besides, and a
 * body may take its size twice for a short time, while its parts are joined: on
 * the smallest VM, of 202 MB, that is 74 + 2 * 50 MB.
 */
const MEMORY_SHARE = 0.25;
const BYTES_PER_MB = 1_000_000;
/** Part of the limit that large bodies may use, so that small ones have room. */
const LARGE_BODY_SHARE = 0.9;
/**
 * Answers that are read without room may take this part of the limit in all:
 * together with the process that is the memory of the smallest VM.
 */
const OVERDRAFT_SHARE = 2;
/** Below this part of the limit, a shortage is over. */
const RECOVERY_SHARE = 0.7;
/**
 * Longest wait of an answer for room. Servers cut off answers that are not read
 * for some seconds.
 */
const MAX_ANSWER_WAIT_MS = 1_000;
/** Interval over which the rate of released bytes is measured. */
const RATE_WINDOW_MS = 1_000;
const MIN_RETRY_AFTER_MS = 50;
/**
 * Refused clients return spread over this part of the time until there is room,
 * after it.
 */
const RETRY_JITTER = 0.25;

/**
 * @param memoryMb Memory of the VM in MB; undefined if not known.
 * @returns Most bytes of bodies to hold; undefined for no limit.
 */
export function computeBodyLimit(
  memoryMb: number | undefined,
): number | undefined {
  return memoryMb === undefined
    ? undefined
    : Math.floor(memoryMb * BYTES_PER_MB * MEMORY_SHARE);
}

interface WaitingAnswer {
  tryHold(): boolean;
}

/**
 * @param options Limit and dependencies.
 * @returns A budget of which nothing is held.
 */
export function createBodyBudget(options: BodyBudgetOptions): BodyBudget {
  const { clock, log, random } = options;
  const limitBytes = options.limitBytes ?? Infinity;
  const largeLimitBytes = limitBytes * LARGE_BODY_SHARE;
  const overdraftLimitBytes = limitBytes * OVERDRAFT_SHARE;
  /** In order of arrival. */
  const waiting = new Set<WaitingAnswer>();
  let heldBytes = 0;
  let refusedRequests = 0;
  let overdrawnAnswers = 0;
  let stalledClients = 0;
  let shortSinceMs: number | undefined;
  let refusedBefore = 0;
  let windowStartMs = clock.monotonicMs();
  let windowBytes = 0;
  let releasedPerMs = 0;

  function hasRoom(bytes: number, additionalBytes: number): boolean {
    const limit = bytes < LARGE_BODY_BYTES ? limitBytes : largeLimitBytes;
    return additionalBytes <= 0 || heldBytes + additionalBytes <= limit;
  }

  /** Large bodies don't overtake answers that wait for room. */
  function mayHold(bytes: number, additionalBytes: number): boolean {
    const isBehind = waiting.size > 0 && bytes >= LARGE_BODY_BYTES &&
      additionalBytes > 0;
    return !isBehind && hasRoom(bytes, additionalBytes);
  }

  function recordShortage(bytes: number): void {
    if (shortSinceMs !== undefined) return;
    shortSinceMs = clock.monotonicMs();
    refusedBefore = refusedRequests;
    log.warn({ heldBytes, limitBytes, bytes }, "body memory short");
  }

  function giveBack(bytes: number): void {
    heldBytes -= bytes;
    if (limitBytes === Infinity) return;
    updateRate();
    windowBytes += bytes;
    for (const answer of waiting) if (!answer.tryHold()) break;
    if (
      shortSinceMs === undefined || waiting.size > 0 ||
      heldBytes >= limitBytes * RECOVERY_SHARE
    ) return;
    const shortMs = Math.round(clock.monotonicMs() - shortSinceMs);
    shortSinceMs = undefined;
    log.info(
      {
        heldBytes,
        limitBytes,
        shortMs,
        refused: refusedRequests - refusedBefore,
      },
      "body memory no longer short",
    );
  }

  function updateRate(): void {
    const nowMs = clock.monotonicMs();
    const elapsedMs = nowMs - windowStartMs;
    if (elapsedMs < RATE_WINDOW_MS) return;
    releasedPerMs = windowBytes / elapsedMs;
    windowBytes = 0;
    windowStartMs = nowMs;
  }

  function open(deadlineAtMs: number): BodyHold {
    let requestBytes = 0;
    let answerBytes = 0;
    let isReleased = false;

    function setAnswer(bytes: number): void {
      const givenBackBytes = answerBytes - bytes;
      answerBytes = bytes;
      if (givenBackBytes > 0) giveBack(givenBackBytes);
      else heldBytes -= givenBackBytes;
    }

    function tryHoldAnswer(bytes: number): boolean {
      if (isReleased) return true;
      if (!mayHold(bytes, bytes - answerBytes)) return false;
      setAnswer(bytes);
      return true;
    }

    function overdrawAnswer(bytes: number): boolean {
      if (isReleased) return true;
      const additionalBytes = bytes - answerBytes;
      if (heldBytes + additionalBytes > overdraftLimitBytes) return false;
      setAnswer(bytes);
      return true;
    }

    function replaceByAnswer(bytes: number): void {
      if (isReleased) return;
      const sentBytes = requestBytes;
      requestBytes = 0;
      setAnswer(bytes);
      if (sentBytes > 0) giveBack(sentBytes);
    }

    return {
      tryHoldRequest(bytes) {
        if (isReleased) return true;
        const additionalBytes = bytes - requestBytes;
        if (!mayHold(bytes, additionalBytes)) return false;
        requestBytes = bytes;
        heldBytes += additionalBytes;
        return true;
      },
      tryHoldAnswer,
      overdrawAnswer,
      awaitAnswerRoom(bytes, onEnd) {
        recordShortage(bytes);
        const leftMs = deadlineAtMs - clock.monotonicMs();
        const waitMs = Math.max(0, Math.min(MAX_ANSWER_WAIT_MS, leftMs / 2));
        const answer: WaitingAnswer = {
          tryHold() {
            if (!isReleased && !hasRoom(bytes, bytes - answerBytes)) {
              return false;
            }
            stop();
            // Held before the next waiting answer is looked at.
            if (!isReleased) heldBytes += bytes - answerBytes;
            answerBytes = bytes;
            onEnd(true);
            return true;
          },
        };
        const timer: Timer = clock.after(waitMs, () => {
          stop();
          const isHeld = overdrawAnswer(bytes);
          if (isHeld) overdrawnAnswers++;
          onEnd(isHeld);
        });
        const stop = () => {
          waiting.delete(answer);
          timer.cancel();
        };
        waiting.add(answer);
        return stop;
      },
      replaceByAnswer,
      release() {
        if (isReleased) return;
        // First, since a waiting answer of this hold may be next to get room.
        isReleased = true;
        const bytes = requestBytes + answerBytes;
        if (bytes > 0) giveBack(bytes);
      },
    };
  }

  return {
    isLimited: limitBytes < Infinity,
    open,
    refuse(bytes, maxMs) {
      recordShortage(bytes);
      refusedRequests++;
      updateRate();
      const missingBytes = heldBytes + bytes - largeLimitBytes;
      const longestMs = maxMs / (1 + RETRY_JITTER);
      const untilRoomMs = releasedPerMs > 0
        ? Math.max(MIN_RETRY_AFTER_MS, missingBytes / releasedPerMs)
        : longestMs;
      return Math.min(untilRoomMs, longestMs) * (1 + RETRY_JITTER * random());
    },
    countStalledClient: () => void stalledClients++,
    getStats: () => ({
      heldBytes,
      limitBytes: options.limitBytes,
      waitingAnswers: waiting.size,
      refusedRequests,
      overdrawnAnswers,
      stalledClients,
      isShort: shortSinceMs !== undefined,
    }),
  };
}
