/**
 * The clocks of one scheduler's VM, and freezes of its process, during which its monotonic clock goes
 * on. Timers that come due and answers that arrive meanwhile are handled when it wakes.
 */
import type { Clock, ManualClock, Timer } from "@coltsfootpond/common";

/**
 * Real timers take at least 1 ms. A shorter delay, as the rounding of clock rates leaves it, would not
 * advance the manual clock.
 */
const LEAST_TIMER_MS = 1;

export interface VmFakeOptions {
  /** The manual clock, which stands for true time. */
  readonly clock: ManualClock;
  /** What the VM's monotonic clock shows first. */
  readonly startMs: number;
  /** Rate of the VM's monotonic clock. */
  readonly rate: number;
  /** Error of the VM's time of day. */
  readonly unixErrorMs: number;
}

export class VmFake implements Clock {
  readonly #options: VmFakeOptions;
  readonly #createdMs: number;
  #frozenUntilMs = Number.NEGATIVE_INFINITY;

  private constructor(options: VmFakeOptions) {
    this.#options = options;
    this.#createdMs = options.clock.nowMs();
  }

  static create(options: VmFakeOptions): VmFake {
    return new VmFake(options);
  }

  nowMs(): number {
    const { clock, startMs, rate } = this.#options;
    return startMs + (clock.nowMs() - this.#createdMs) * rate;
  }

  nowUnixMs(): number {
    const { clock, unixErrorMs } = this.#options;
    return clock.nowMs() + unixErrorMs;
  }

  after(delayMs: number, callback: () => void): Timer {
    const { clock, rate } = this.#options;
    const fire = () => {
      if (this.#isFrozen) timer = clock.after(this.#remainingMs, fire);
      else callback();
    };
    let timer = clock.after(Math.max(delayMs / rate, LEAST_TIMER_MS), fire);
    return { cancel: () => timer.cancel() };
  }

  every(periodMs: number, callback: () => void): Timer {
    let timer = this.after(periodMs, fire.bind(this));
    function fire(this: VmFake) {
      timer = this.after(periodMs, fire.bind(this));
      callback();
    }
    return { cancel: () => timer.cancel() };
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }

  /** The process runs on only after `durationMs`. */
  freeze(durationMs: number): void {
    const untilMs = this.#options.clock.nowMs() + durationMs;
    this.#frozenUntilMs = Math.max(this.#frozenUntilMs, untilMs);
  }

  /** Resolves with the answer once the process runs. */
  async receive<Answer>(answer: Promise<Answer>): Promise<Answer> {
    const received = await answer;
    while (this.#isFrozen) await this.#options.clock.sleep(this.#remainingMs);
    return received;
  }

  get #isFrozen(): boolean {
    return this.#remainingMs > 0;
  }

  get #remainingMs(): number {
    const remainingMs = this.#frozenUntilMs - this.#options.clock.nowMs();
    return remainingMs > 0 ? Math.max(remainingMs, LEAST_TIMER_MS) : 0;
  }
}
