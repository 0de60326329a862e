/**
 * Order of the requests that wait for one service, as a queue class for
 * `p-queue`: the most urgent priority first; within a priority, accounts take
 * turns; within an account, the least remaining time first.
 *
 * Turns follow start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996)
 * with equal weights: an account that sends many times its usual load only
 * lengthens its own line, and one that was idle gets no extra turns.
 *
 * @module
 */
import type { Queue, QueueAddOptions } from "p-queue";

/** A waiting request. */
export interface WaitEntry {
  /** 0 is the most urgent. */
  priority: number;
  /** Name of the account; empty where none is needed. */
  account: string;
  /** End of the target latency, on the monotonic clock. */
  targetAtMs: number;
  /** Whether it was taken from the line before and found no slot. */
  isReturning: boolean;
}

/** Options with which a request is added. */
export interface WaitOptions extends QueueAddOptions {
  entry: WaitEntry;
}

type Run = () => Promise<unknown>;

interface WaitingTask<Entry extends WaitEntry> {
  id: string | undefined;
  entry: Entry;
  run: Run;
}

interface TaskPosition<Entry extends WaitEntry> {
  task: WaitingTask<Entry>;
  turn: number;
}

/** Queue class for p-queue. */
export class WaitingLine<Entry extends WaitEntry = WaitEntry>
  implements Queue<Run, WaitOptions & { entry: Entry }> {
  #tasks: WaitingTask<Entry>[] = [];
  /** Next turn of each account, by priority and account. */
  readonly #turns = new Map<string, number>();

  /** Number of waiting requests. */
  get size(): number {
    return this.#tasks.length;
  }

  /**
   * @param run Called when the request's turn comes.
   * @param options The request; required.
   */
  enqueue(run: Run, options?: Partial<WaitOptions & { entry: Entry }>): void {
    const { id, entry } = options ?? {};
    if (entry === undefined) throw new TypeError("entry is required");
    this.#assignTurn(entry);
    this.#tasks.push({ id, entry, run });
  }

  /** @returns The next request's function; it is removed from the line. */
  dequeue(): Run | undefined {
    const next = this.#sort()[0];
    if (next === undefined) return undefined;
    const { task, turn } = next;
    this.#tasks = this.#tasks.filter((other) => other !== task);
    this.#turns.set(makeKey(task.entry), turn + 1);
    return task.run;
  }

  /**
   * @param options A request, or nothing for all.
   * @returns Functions of the waiting requests with its priority, in order.
   */
  filter({ entry }: Partial<WaitOptions & { entry: Entry }>): Run[] {
    return this.#sort()
      .filter(({ task }) =>
        entry === undefined || task.entry.priority === entry.priority
      )
      .map(({ task }) => task.run);
  }

  /**
   * Removes a request without calling its function.
   *
   * @param id Id that it was added with.
   */
  remove(id: string): void {
    this.#tasks = this.#tasks.filter((task) => task.id !== id);
  }

  /** Not supported: the priority of a request doesn't change. */
  setPriority(): void {
    throw new TypeError("priorities of waiting requests don't change");
  }

  /** @returns The waiting requests in order. */
  list(): Entry[] {
    return this.#sort().map(({ task }) => task.entry);
  }

  /**
   * @param entry A request that is not in the line.
   * @returns Number of waiting requests that would come before it.
   */
  countAhead(entry: WaitEntry): number {
    const key = makeKey(entry);
    const ownAhead =
      this.#tasks.filter((task) =>
        makeKey(task.entry) === key && task.entry.targetAtMs <= entry.targetAtMs
      ).length;
    const turn = this.#getTurn(entry) + ownAhead;
    return this.#sort().filter(({ task: { entry: other }, turn: otherTurn }) =>
      other.priority < entry.priority ||
      other.priority === entry.priority && (otherTurn < turn ||
          otherTurn === turn && other.targetAtMs <= entry.targetAtMs)
    ).length;
  }

  /** Gives a request that found no slot its turn back. */
  #assignTurn(entry: Entry): void {
    if (!entry.isReturning && this.#tasks.length === 0) this.#turns.clear();
    this.#turns.set(makeKey(entry), this.#getTurn(entry));
  }

  /**
   * Returns the next turn of a request's account. An account that starts to
   * wait joins at the lowest turn of those that wait with the same priority.
   */
  #getTurn(entry: WaitEntry): number {
    const key = makeKey(entry);
    const turn = this.#turns.get(key) ?? 0;
    if (entry.isReturning) return turn - 1;
    const waitingKeys = this.#tasks
      .filter((task) => task.entry.priority === entry.priority)
      .map((task) => makeKey(task.entry));
    if (waitingKeys.length === 0 || waitingKeys.includes(key)) return turn;
    const lowest = Math.min(
      ...waitingKeys.map((other) => this.#turns.get(other) ?? 0),
    );
    return Math.max(turn, lowest);
  }

  #sort(): TaskPosition<Entry>[] {
    const turns = new Map(this.#turns);
    return this.#tasks
      .toSorted((a, b) => a.entry.targetAtMs - b.entry.targetAtMs)
      .map((task) => {
        const key = makeKey(task.entry);
        const turn = turns.get(key) ?? 0;
        turns.set(key, turn + 1);
        return { task, turn };
      })
      .sort((a, b) =>
        a.task.entry.priority - b.task.entry.priority || a.turn - b.turn
      );
  }
}

function makeKey({ priority, account }: WaitEntry): string {
  return `${priority} ${account}`;
}
