/** A queue of events in order of virtual time, and of addition for equal times. */
import { BinaryHeap } from "../../packages/policy/placement/binary_heap.ts";

interface TimedEvent<Event> {
  readonly atMs: number;
  readonly sequence: number;
  readonly event: Event;
}

/** The pending events of a replay. */
export class EventQueue<Event> {
  readonly #heap = BinaryHeap.create<TimedEvent<Event>>((left, right) =>
    left.atMs - right.atMs || left.sequence - right.sequence
  );
  #sequence = 0;

  private constructor() {}

  static create<Event>(): EventQueue<Event> {
    return new EventQueue();
  }

  add(atMs: number, event: Event): void {
    this.#heap.push({ atMs, sequence: this.#sequence++, event });
  }

  /** Time of the earliest event, undefined if there is none. */
  nextMs(): number | undefined {
    return this.#heap.peek()?.atMs;
  }

  /** Removes and returns the events that are due by `nowMs`, in order. */
  takeDue(nowMs: number): Event[] {
    const due: Event[] = [];
    while ((this.#heap.peek()?.atMs ?? Infinity) <= nowMs) {
      due.push(this.#heap.pop()!.event);
    }
    return due;
  }
}
