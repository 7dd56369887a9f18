/**
 * Keeps writes under the deployment's budget. Waiting writes go out by rank, then in order of
 * arrival; the wait is bounded in number and by each write's deadline. A token bucket holds this
 * entry's share of the budget.
 */
import type { Clock, Timer } from "@coltsfootpond/common";
import type { WritePriority } from "./types.ts";

export interface WriteLimiterOptions {
  /** Writes a second over all entries. */
  readonly writesPerSecond: number;
  /** Most writes that may wait here. */
  readonly maximumWaiting: number;
}

export interface WriteAdmission {
  readonly rank: WritePriority;
  readonly writes: number;
  readonly deadlineMs: number;
}

export type AdmissionOutcome =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly reason: "queue full" | "deadline" };

interface Waiter {
  readonly admission: WriteAdmission;
  readonly sequence: number;
  readonly resolve: (outcome: AdmissionOutcome) => void;
}

const DEFAULT_OPTIONS: WriteLimiterOptions = {
  writesPerSecond: 300,
  maximumWaiting: 4_096,
};
const MS_PER_SECOND = 1_000;
const BURST_SECONDS = 1;

export class WriteLimiter {
  readonly #clock: Clock;
  readonly #options: WriteLimiterOptions;
  #sharers = 1;
  #tokens: number;
  #filledMs: number;
  #waiters: Waiter[] = [];
  #sequence = 0;
  #timer: Timer | undefined;

  private constructor(clock: Clock, options: WriteLimiterOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#tokens = options.writesPerSecond * BURST_SECONDS;
    this.#filledMs = clock.nowMs();
  }

  static create(
    clock: Clock,
    options: WriteLimiterOptions = DEFAULT_OPTIONS,
  ): WriteLimiter {
    return new WriteLimiter(clock, options);
  }

  setEntryCount(sharers: number): void {
    this.#fill();
    this.#sharers = Math.max(1, sharers);
    this.#tokens = Math.min(this.#tokens, this.#ratePerSecond());
  }

  countWaiting(): number {
    return this.#waiters.length;
  }

  admit(admission: WriteAdmission): Promise<AdmissionOutcome> {
    this.#fill();
    if (this.#waiters.length === 0 && this.#take(admission.writes)) {
      return Promise.resolve({ kind: "admitted" });
    }
    return new Promise((resolve) => {
      const waiter = { admission, sequence: this.#sequence++, resolve };
      this.#waiters.push(waiter);
      this.#waiters.sort(compareWaiters);
      if (this.#waiters.length > this.#options.maximumWaiting) {
        const last = this.#waiters.pop();
        last?.resolve({ kind: "refused", reason: "queue full" });
      }
      this.#schedule();
    });
  }

  #ratePerSecond(): number {
    return this.#options.writesPerSecond / this.#sharers;
  }

  #fill(): void {
    const nowMs = this.#clock.nowMs();
    const rate = this.#ratePerSecond();
    const gained = rate * (nowMs - this.#filledMs) / MS_PER_SECOND;
    this.#tokens = Math.min(rate * BURST_SECONDS, this.#tokens + gained);
    this.#filledMs = nowMs;
  }

  /** A write larger than the bucket goes out when the bucket is full. */
  #take(writes: number): boolean {
    const needed = Math.min(writes, this.#ratePerSecond() * BURST_SECONDS);
    if (this.#tokens < needed) return false;
    this.#tokens -= writes;
    return true;
  }

  /** Wakes for the next token or the next deadline, whichever is first. */
  #schedule(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    const first = this.#waiters[0];
    if (first === undefined) return;
    const rate = this.#ratePerSecond();
    const needed = Math.min(first.admission.writes, rate * BURST_SECONDS);
    const tokenMs = (needed - this.#tokens) * MS_PER_SECOND / rate;
    const deadlinesMs = this.#waiters.map((one) => one.admission.deadlineMs);
    const deadlineMs = Math.min(...deadlinesMs) - this.#clock.nowMs();
    const waitMs = Math.max(1, Math.min(tokenMs, deadlineMs));
    this.#timer = this.#clock.after(waitMs, () => this.#drain());
  }

  #drain(): void {
    this.#timer = undefined;
    this.#fill();
    this.#refuseOverdue();
    while (this.#waiters.length > 0) {
      const next = this.#waiters[0];
      if (next === undefined || !this.#take(next.admission.writes)) break;
      this.#waiters.shift();
      next.resolve({ kind: "admitted" });
    }
    this.#schedule();
  }

  #refuseOverdue(): void {
    const nowMs = this.#clock.nowMs();
    const overdue = this.#waiters.filter((one) =>
      one.admission.deadlineMs <= nowMs
    );
    if (overdue.length === 0) return;
    this.#waiters = this.#waiters.filter((one) => !overdue.includes(one));
    for (const one of overdue) {
      one.resolve({ kind: "refused", reason: "deadline" });
    }
  }
}

function compareWaiters(left: Waiter, right: Waiter): number {
  return left.admission.rank - right.admission.rank ||
    left.sequence - right.sequence;
}
