/**
 * Weighted fair queue for `p-queue`: classes with a higher weight are served more
 * often, and none starves.
 *
 * Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each class has
 * a virtual time that advances more slowly the higher its weight is; the class
 * with the lowest virtual time is served next.
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
  /** Weight of the class; passed to p-queue as the priority. */
  weight: number;
  virtualTime: number;
  waiting: QueuedTask[];
}

/** Exponent of weights: a class of weight 2 gets 8 turns per turn of weight 1. */
const WEIGHT_EXPONENT = 3;

/** Queue class for p-queue; `priority` is the weight of a class, above 0. */
export class FairQueue implements Queue<Run, QueueAddOptions> {
  readonly #classQueues = new Map<number, ClassQueue>();
  #virtualTime = 0;
  #size = 0;

  /** Number of waiting tasks. */
  get size(): number {
    return this.#size;
  }

  /**
   * Adds a task at the end of its class's queue.
   *
   * @param run The task.
   * @param options Weight of its class, 1 if omitted, and the id of the task.
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

  /** @returns The next task, which is removed from the queue, if any. */
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
   * @param options Weight of a class.
   * @returns Waiting tasks of the class.
   */
  filter(options: Partial<QueueAddOptions>): Run[] {
    const classQueue = this.#classQueues.get(options.priority ?? 1);
    return classQueue?.waiting.map(({ run }) => run) ?? [];
  }

  /**
   * Removes a task without running it.
   *
   * @param idOrRun Id of the task, or the task itself.
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
   * Moves a task to the end of another class's queue.
   *
   * @param id Id of the task.
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
   * @param weight Weight of a class.
   * @returns Share of turns, 0 to 1, that the class gets among the classes with
   *   waiting tasks and itself.
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
   * @param weight Weight of a class.
   * @returns Number of waiting tasks of the class.
   */
  countWaiting(weight: number): number {
    return this.#classQueues.get(weight)?.waiting.length ?? 0;
  }
}

/** A p-queue and the fair queue that holds its waiting tasks. */
export interface FairTaskQueue {
  queue: PQueue<FairQueue>;
  waiting: FairQueue;
}

/** @returns A p-queue with concurrency 1, and its fair queue. */
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

/** Orders by virtual time, then by descending weight. */
function isBefore(a: ClassQueue, b: ClassQueue): boolean {
  if (a.virtualTime !== b.virtualTime) return a.virtualTime < b.virtualTime;
  return a.weight > b.weight;
}
