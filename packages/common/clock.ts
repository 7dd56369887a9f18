/**
 * The one source of time. All times are monotonic milliseconds of one process and are never
 * compared between processes.
 */
import { performance } from "node:perf_hooks";
import { setImmediate } from "node:timers";

/** A scheduled callback that can be cancelled; cancelling twice is harmless. */
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

/** The process's own monotonic clock. */
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

/** A clock that moves only when a test says so. Timers fire in order of due time, then creation. */
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

  /** Moves time on by `durationMs`, firing what falls due and letting promises settle between. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await this.#settle();
    for (
      let timer = this.#takeDue(endMs);
      timer !== undefined;
      timer = this.#takeDue(endMs)
    ) {
      this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
      timer.callback();
      await this.#settle();
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

  /** Lets everything that waits on settled promises run. */
  #settle(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }
}
