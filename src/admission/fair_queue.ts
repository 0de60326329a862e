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

interface QueuedTask {
  id: string | undefined;
  run: Run;
}

interface ClassQueue {
  /** Weight of the class; p-queue calls it the priority. */
  weight: number;
  virtualTime: number;
  waiting: QueuedTask[];
}

/** Exponent on weights: a decision of weight 2 gets 8 turns to a look-up's 1. */
const WEIGHT_EXPONENT = 3;

/** A queue class for p-queue; `priority` is a class's weight, above 0. */
export class FairQueue implements Queue<Run, QueueAddOptions> {
  readonly #classQueues = new Map<number, ClassQueue>();
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
    const classQueue = this.#classQueues.get(weight) ??
      { weight, virtualTime: 0, waiting: [] };
    this.#classQueues.set(weight, classQueue);
    if (classQueue.waiting.length === 0) {
      classQueue.virtualTime = Math.max(
        classQueue.virtualTime,
        this.#virtualTime,
      );
    }
    classQueue.waiting.push({ id: options?.id, run });
    this.#size += 1;
  }

  /** @returns The next task, if any. */
  dequeue(): Run | undefined {
    let next: ClassQueue | undefined;
    for (const classQueue of this.#classQueues.values()) {
      if (
        classQueue.waiting.length > 0 && (!next || isBefore(classQueue, next))
      ) {
        next = classQueue;
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
    const classQueue = this.#classQueues.get(options.priority ?? 1);
    return classQueue?.waiting.map(({ run }) => run) ?? [];
  }

  /**
   * Takes a task out.
   *
   * @param idOrRun Its id or the task itself.
   */
  remove(idOrRun: string | Run): void {
    for (const classQueue of this.#classQueues.values()) {
      const index = classQueue.waiting.findIndex(({ id, run }) =>
        id === idOrRun || run === idOrRun
      );
      if (index < 0) continue;
      classQueue.waiting.splice(index, 1);
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
    for (const classQueue of this.#classQueues.values()) {
      const found = classQueue.waiting.find((waiting) => waiting.id === id);
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
  getClassShare(weight: number): number {
    const ownTurns = weight ** WEIGHT_EXPONENT;
    let totalTurns = ownTurns;
    for (const queue of this.#classQueues.values()) {
      if (queue.weight === weight || queue.waiting.length === 0) continue;
      totalTurns += queue.weight ** WEIGHT_EXPONENT;
    }
    return ownTurns / totalTurns;
  }

  /**
   * @param weight A class's weight.
   * @returns Requests of the class that wait.
   */
  countWaiting(weight: number): number {
    return this.#classQueues.get(weight)?.waiting.length ?? 0;
  }
}

/** A p-queue and its waiting line. */
export interface FairTaskQueue {
  queue: PQueue<FairQueue>;
  waiting: FairQueue;
}

/** @returns A p-queue whose waiting line can be looked into. */
export function createFairQueue(): FairTaskQueue {
  const instances: FairQueue[] = [];
  class CapturedFairQueue extends FairQueue {
    constructor() {
      super();
      instances.push(this);
    }
  }
  const queue = new PQueue({ queueClass: CapturedFairQueue, concurrency: 1 });
  return { queue, waiting: instances[0] };
}

/** The heavier of two equals goes first. */
function isBefore(a: ClassQueue, b: ClassQueue): boolean {
  if (a.virtualTime !== b.virtualTime) return a.virtualTime < b.virtualTime;
  return a.weight > b.weight;
}
