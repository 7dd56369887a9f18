/**
 * Monotonic time and timers. Code takes them only from the `Clock` that it is given: the process's
 * clock, or a manual clock in tests. Times are milliseconds since an arbitrary start, so they must
 * not be compared between processes.
 */
import { performance } from "node:perf_hooks";
import { setImmediate } from "node:timers";

/** A scheduled callback. Cancelling it again, or after it fired, has no effect. */
export interface Timer {
  cancel(): void;
}

/** Monotonic time and timers, in milliseconds. */
export interface Clock {
  nowMs(): number;
  /** Calls `callback` once after `delayMs`. */
  after(delayMs: number, callback: () => void): Timer;
  /** Calls `callback` every `periodMs` until cancelled. */
  every(periodMs: number, callback: () => void): Timer;
  /** Resolves after `delayMs`. */
  sleep(delayMs: number): Promise<void>;
}

/** The monotonic clock and timers of Node.js. */
export class SystemClock implements Clock {
  private constructor() {}

  static create(): SystemClock {
    return new SystemClock();
  }

  nowMs(): number {
    return performance.now();
  }

  after(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(handle) };
  }

  every(periodMs: number, callback: () => void): Timer {
    const handle = setInterval(callback, periodMs);
    return { cancel: () => clearInterval(handle) };
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }
}

interface ManualTimer {
  dueMs: number;
  readonly sequence: number;
  readonly periodMs: number | undefined;
  readonly callback: () => void;
}

/** A clock that only `advance` moves. Timers fire in order of due time, then of creation. */
export class ManualClock implements Clock {
  #nowMs = 0;
  #sequence = 0;
  #timers: ManualTimer[] = [];

  private constructor() {}

  static create(): ManualClock {
    return new ManualClock();
  }

  nowMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, callback: () => void): Timer {
    return this.#add(delayMs, undefined, callback);
  }

  every(periodMs: number, callback: () => void): Timer {
    return this.#add(periodMs, periodMs, callback);
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }

  /**
   * Advances time by `durationMs` and fires the due timers; after each, the callbacks of settled
   * promises run.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await this.#flushPromises();
    for (
      let timer = this.#takeDue(endMs);
      timer !== undefined;
      timer = this.#takeDue(endMs)
    ) {
      this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
      timer.callback();
      await this.#flushPromises();
    }
    this.#nowMs = endMs;
  }

  #add(
    delayMs: number,
    periodMs: number | undefined,
    callback: () => void,
  ): Timer {
    const timer: ManualTimer = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      periodMs,
      callback,
    };
    this.#timers.push(timer);
    return {
      cancel:
        () => (this.#timers = this.#timers.filter((other) => other !== timer)),
    };
  }

  #takeDue(endMs: number): ManualTimer | undefined {
    const due = this.#timers.filter((timer) => timer.dueMs <= endMs);
    due.sort((left, right) =>
      left.dueMs - right.dueMs || left.sequence - right.sequence
    );
    const next = due[0];
    if (next === undefined) return undefined;
    if (next.periodMs === undefined) {
      this.#timers = this.#timers.filter((timer) => timer !== next);
      return next;
    }
    const fired = { ...next };
    next.dueMs += next.periodMs;
    return fired;
  }

  /** Resolves after the callbacks of all settled promises have run. */
  #flushPromises(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }
}
