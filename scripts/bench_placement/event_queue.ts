/** Events in order of virtual time, then of addition. */
import { BinaryHeap } from "../../packages/policy/placement/binary_heap.ts";

interface Timed<Event> {
  readonly atMs: number;
  readonly sequence: number;
  readonly event: Event;
}

export class EventQueue<Event> {
  readonly #heap = BinaryHeap.create<Timed<Event>>((left, right) =>
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

  nextMs(): number | undefined {
    return this.#heap.peek()?.atMs;
  }

  takeDue(nowMs: number): Event[] {
    const due: Event[] = [];
    while ((this.#heap.peek()?.atMs ?? Infinity) <= nowMs) {
      due.push(this.#heap.pop()!.event);
    }
    return due;
  }
}
