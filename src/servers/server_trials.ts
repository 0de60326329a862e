/**
 * Trials: single requests that show whether an avoided server responds again.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";

/** Trials of reported servers. */
export interface ServerTrials {
  /**
   * Draws the time of the next trial, unless a later failure is known.
   *
   * @param server Id of the server instance.
   * @param atMs When it last was unreachable.
   */
  schedule(server: string, atMs: number): void;
  /**
   * Draws the time of the next trial anew if one is scheduled.
   *
   * @param server Id of the server instance, which just failed to respond.
   */
  postpone(server: string): void;
  /**
   * @param server Id of a server instance.
   * @returns Whether a trial is due and none runs.
   */
  isDue(server: string): boolean;
  /** @returns Whether a trial of the server runs. */
  isRunning(server: string): boolean;
  /** Records the start of a trial. */
  begin(server: string): void;
  /** Records the end of a trial, whatever its outcome. */
  end(server: string): void;
  /** Drops a server without reports. */
  forget(server: string): void;
  /** @returns Number of trials since the start of the process. */
  countStarted(): number;
}

/** Dependencies of `createServerTrials`. */
export interface ServerTrialsOptions {
  clock: Clock;
  random: Random;
  /** @returns Number of VMs, this one included. */
  countVms: () => number;
}

/** Time after a report without trials. */
const TRIAL_QUIET_MS = 1_000;
/**
 * Trials of all VMs together start on average this long apart, if each has
 * requests for the server: each VM draws its time from as many intervals as
 * there are VMs.
 */
const TRIAL_INTERVAL_MS = 250;
/** A trial that has not ended by then no longer prevents the next one. */
const MAX_TRIAL_MS = 10_000;

interface Trial {
  /** Last failure, from which the time of the trial is drawn. */
  failedAtMs: number;
  dueAtMs: number;
  /** -Infinity while none runs. */
  startedAtMs: number;
}

/**
 * @param options Dependencies.
 * @returns A state without trials.
 */
export function createServerTrials(
  { clock, random, countVms }: ServerTrialsOptions,
): ServerTrials {
  const trials = new Map<string, Trial>();
  let startedTrials = 0;

  function isRunning(server: string): boolean {
    const trial = trials.get(server);
    return trial !== undefined &&
      clock.monotonicMs() - trial.startedAtMs < MAX_TRIAL_MS;
  }

  function schedule(server: string, atMs: number): void {
    const known = trials.get(server);
    if (known !== undefined && known.failedAtMs > atMs) return;
    const dueAtMs = atMs + TRIAL_QUIET_MS +
      random() * countVms() * TRIAL_INTERVAL_MS;
    const startedAtMs = known?.startedAtMs ?? -Infinity;
    trials.set(server, { failedAtMs: atMs, dueAtMs, startedAtMs });
  }

  return {
    schedule,
    postpone(server) {
      if (trials.has(server)) schedule(server, clock.monotonicMs());
    },
    isDue(server) {
      const trial = trials.get(server);
      return trial !== undefined && clock.monotonicMs() >= trial.dueAtMs &&
        !isRunning(server);
    },
    isRunning,
    begin(server) {
      const trial = trials.get(server);
      if (trial === undefined) return;
      trial.startedAtMs = clock.monotonicMs();
      startedTrials++;
    },
    end(server) {
      const trial = trials.get(server);
      if (trial !== undefined) trial.startedAtMs = -Infinity;
    },
    forget: (server) => void trials.delete(server),
    countStarted: () => startedTrials,
  };
}
