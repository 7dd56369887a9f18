/** A clock for tests that simulates a process which is paused and resumed, or killed. */
import type { Clock, ManualClock, Timer } from "@coltsfootpond/common";

/** Defers callbacks while the process is paused; the time itself continues. */
export class PausableClock implements Clock {
  readonly #inner: ManualClock;
  #paused = false;
  #stopped = false;
  #deferred: (() => void)[] = [];

  private constructor(inner: ManualClock) {
    this.#inner = inner;
  }

  static create(inner: ManualClock): PausableClock {
    return new PausableClock(inner);
  }

  nowMs(): number {
    return this.#inner.nowMs();
  }

  after(delayMs: number, callback: () => void): Timer {
    return this.#inner.after(delayMs, () => this.#run(callback));
  }

  every(periodMs: number, callback: () => void): Timer {
    return this.#inner.every(periodMs, () => this.#run(callback));
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    for (const callback of this.#deferred.splice(0)) callback();
  }

  /** Drops all callbacks from now on, as after `kill -9`. */
  kill(): void {
    this.#stopped = true;
  }

  get isRunning(): boolean {
    return !this.#paused && !this.#stopped;
  }

  #run(callback: () => void): void {
    if (this.#stopped) return;
    if (this.#paused) this.#deferred.push(callback);
    else callback();
  }
}
