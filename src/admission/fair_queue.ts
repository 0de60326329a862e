/**
 * The waiting line of `p-queue`: heavier classes go first, none starves.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each class has
 * a virtual time that grows slower the heavier it is; the class with the lowest
 * goes next.
 *
 * @module
 */
import PQueue, { type Queue, type QueueAddOptions } from "p-queue";

type Run = () => Promise<unknown>;

interface Waiting {
  id: string | undefined;
  run: Run;
}

interface ClassLine {
  /** Weight of the class; p-queue calls it the priority. */
  weight: number;
  virtualTime: number;
  waiting: Waiting[];
}

/** Exponent on weights: a decision of weight 2 gets 8 turns to a look-up's 1. */
const WEIGHT_EXPONENT = 3;

/** A queue class for p-queue; `priority` is a class's weight, above 0. */
export class FairQueue implements Queue<Run, QueueAddOptions> {
  readonly #lines = new Map<number, ClassLine>();
  #virtualTime = 0;
  #size = 0;

  /** Requests waiting. */
  get size(): number {
    return this.#size;
  }

  /**
   * Puts a task at the end of its class's line.
   *
   * @param run The task.
   * @param options Its class's weight and its id.
   */
  enqueue(run: Run, options?: Partial<QueueAddOptions>): void {
    const weight = options?.priority ?? 1;
    const line = this.#lines.get(weight) ??
      { weight, virtualTime: 0, waiting: [] };
    this.#lines.set(weight, line);
    if (line.waiting.length === 0) {
      line.virtualTime = Math.max(line.virtualTime, this.#virtualTime);
    }
    line.waiting.push({ id: options?.id, run });
    this.#size += 1;
  }

  /** @returns The next task, if any. */
  dequeue(): Run | undefined {
    let next: ClassLine | undefined;
    for (const line of this.#lines.values()) {
      if (line.waiting.length > 0 && (!next || isBefore(line, next))) {
        next = line;
      }
    }
    if (next === undefined) return undefined;
    this.#virtualTime = next.virtualTime;
    next.virtualTime += 1 / next.weight ** WEIGHT_EXPONENT;
    this.#size -= 1;
    return next.waiting.shift()!.run;
  }

  /**
   * @param options The weight wanted.
   * @returns Tasks of that class.
   */
  filter(options: Partial<QueueAddOptions>): Run[] {
    const line = this.#lines.get(options.priority ?? 1);
    return line?.waiting.map(({ run }) => run) ?? [];
  }

  /**
   * Takes a task out.
   *
   * @param idOrRun Its id or the task itself.
   */
  remove(idOrRun: string | Run): void {
    for (const line of this.#lines.values()) {
      const index = line.waiting.findIndex(({ id, run }) =>
        id === idOrRun || run === idOrRun
      );
      if (index < 0) continue;
      line.waiting.splice(index, 1);
      this.#size -= 1;
      return;
    }
  }

  /**
   * Moves a task to another class.
   *
   * @param id Its id.
   * @param priority Weight of the other class.
   */
  setPriority(id: string, priority: number): void {
    for (const line of this.#lines.values()) {
      const found = line.waiting.find((waiting) => waiting.id === id);
      if (found === undefined) continue;
      this.remove(id);
      return this.enqueue(found.run, { id, priority });
    }
  }

  /**
   * @param weight A class's weight.
   * @returns Share of the turns that the class gets among those waiting, itself
   * included.
   */
  getTurnShare(weight: number): number {
    const own = weight ** WEIGHT_EXPONENT;
    let total = own;
    for (const line of this.#lines.values()) {
      if (line.weight === weight || line.waiting.length === 0) continue;
      total += line.weight ** WEIGHT_EXPONENT;
    }
    return own / total;
  }

  /**
   * @param weight A class's weight.
   * @returns Requests of the class that wait.
   */
  countWaiting(weight: number): number {
    return this.#lines.get(weight)?.waiting.length ?? 0;
  }
}

/** A p-queue and its waiting line. */
export interface FairPQueue {
  queue: PQueue<FairQueue>;
  waiting: FairQueue;
}

/** @returns A p-queue whose waiting line can be looked into. */
export function createFairQueue(): FairPQueue {
  const made: FairQueue[] = [];
  class KnownFairQueue extends FairQueue {
    constructor() {
      super();
      made.push(this);
    }
  }
  const queue = new PQueue({ queueClass: KnownFairQueue, concurrency: 1 });
  return { queue, waiting: made[0] };
}

/** The heavier of two equals goes first. */
function isBefore(a: ClassLine, b: ClassLine): boolean {
  if (a.virtualTime !== b.virtualTime) return a.virtualTime < b.virtualTime;
  return a.weight > b.weight;
}
