/**
 * Limits the rate of writes to the table service. A token bucket is refilled at this entry's share
 * of the deployment's rate, and each write of a transaction takes a token. Waiting transactions are
 * admitted by rank, the lowest number first, then in order of arrival; their number is limited, and
 * each waits at most until its deadline.
 */
import type { Clock, Timer } from "@coltsfootpond/common";
import type { WritePriority } from "./types.ts";

export interface WriteLimiterOptions {
  /** Writes per second of all entries together. */
  readonly writesPerSecond: number;
  /** Maximum number of waiting transactions. */
  readonly maximumWaiting: number;
}

/** A transaction that asks for admission: its rank, its number of writes and its deadline. */
export interface AdmissionRequest {
  readonly rank: WritePriority;
  readonly writes: number;
  readonly deadlineMs: number;
}

/** `refused`: the transaction must not be sent. */
export type AdmissionOutcome =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly reason: "queue full" | "deadline" };

interface WaitingTransaction {
  readonly request: AdmissionRequest;
  readonly sequence: number;
  readonly resolve: (outcome: AdmissionOutcome) => void;
}

const DEFAULT_OPTIONS: WriteLimiterOptions = {
  writesPerSecond: 300,
  maximumWaiting: 4_096,
};
const MS_PER_SECOND = 1_000;
/** Capacity of the token bucket, in seconds of the entry's rate. */
const BURST_SECONDS = 1;

/** Admits transactions of one entry; see the module's comment. */
export class WriteLimiter {
  readonly #clock: Clock;
  readonly #options: WriteLimiterOptions;
  #entryCount = 1;
  #tokens: number;
  #refilledMs: number;
  #waiting: WaitingTransaction[] = [];
  #sequence = 0;
  #timer: Timer | undefined;

  private constructor(clock: Clock, options: WriteLimiterOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#tokens = options.writesPerSecond * BURST_SECONDS;
    this.#refilledMs = clock.nowMs();
  }

  static create(
    clock: Clock,
    options: WriteLimiterOptions = DEFAULT_OPTIONS,
  ): WriteLimiter {
    return new WriteLimiter(clock, options);
  }

  /** Sets the number of entries that share the rate equally. */
  setEntryCount(entryCount: number): void {
    this.#refill();
    this.#entryCount = Math.max(1, entryCount);
    this.#tokens = Math.min(this.#tokens, this.#ratePerSecond());
  }

  countWaiting(): number {
    return this.#waiting.length;
  }

  /** Resolves on admission or refusal. When the queue is full, the last in order is refused. */
  admit(request: AdmissionRequest): Promise<AdmissionOutcome> {
    this.#refill();
    if (this.#waiting.length === 0 && this.#tryTakeTokens(request.writes)) {
      return Promise.resolve({ kind: "admitted" });
    }
    return new Promise((resolve) => {
      const waitingTransaction = {
        request,
        sequence: this.#sequence++,
        resolve,
      };
      this.#waiting.push(waitingTransaction);
      this.#waiting.sort(compareWaiting);
      if (this.#waiting.length > this.#options.maximumWaiting) {
        const last = this.#waiting.pop();
        last?.resolve({ kind: "refused", reason: "queue full" });
      }
      this.#schedule();
    });
  }

  #ratePerSecond(): number {
    return this.#options.writesPerSecond / this.#entryCount;
  }

  #refill(): void {
    const nowMs = this.#clock.nowMs();
    const rate = this.#ratePerSecond();
    const gained = rate * (nowMs - this.#refilledMs) / MS_PER_SECOND;
    this.#tokens = Math.min(rate * BURST_SECONDS, this.#tokens + gained);
    this.#refilledMs = nowMs;
  }

  /** A transaction larger than the bucket's capacity is admitted when the bucket is full. */
  #tryTakeTokens(writes: number): boolean {
    const needed = Math.min(writes, this.#ratePerSecond() * BURST_SECONDS);
    if (this.#tokens < needed) return false;
    this.#tokens -= writes;
    return true;
  }

  /** Sets the timer for when the first transaction has its tokens or the next deadline passes. */
  #schedule(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    const first = this.#waiting[0];
    if (first === undefined) return;
    const rate = this.#ratePerSecond();
    const needed = Math.min(first.request.writes, rate * BURST_SECONDS);
    const tokensDelayMs = (needed - this.#tokens) * MS_PER_SECOND / rate;
    const deadlinesMs = this.#waiting.map((waiting) =>
      waiting.request.deadlineMs
    );
    const deadlineDelayMs = Math.min(...deadlinesMs) - this.#clock.nowMs();
    const waitMs = Math.max(1, Math.min(tokensDelayMs, deadlineDelayMs));
    this.#timer = this.#clock.after(waitMs, () => this.#admitWaiting());
  }

  #admitWaiting(): void {
    this.#timer = undefined;
    this.#refill();
    this.#refuseOverdue();
    while (this.#waiting.length > 0) {
      const next = this.#waiting[0];
      if (next === undefined || !this.#tryTakeTokens(next.request.writes)) {
        break;
      }
      this.#waiting.shift();
      next.resolve({ kind: "admitted" });
    }
    this.#schedule();
  }

  #refuseOverdue(): void {
    const nowMs = this.#clock.nowMs();
    const overdue = this.#waiting.filter((waiting) =>
      waiting.request.deadlineMs <= nowMs
    );
    if (overdue.length === 0) return;
    this.#waiting = this.#waiting.filter((waiting) =>
      !overdue.includes(waiting)
    );
    for (const waiting of overdue) {
      waiting.resolve({ kind: "refused", reason: "deadline" });
    }
  }
}

function compareWaiting(
  left: WaitingTransaction,
  right: WaitingTransaction,
): number {
  return left.request.rank - right.request.rank ||
    left.sequence - right.sequence;
}
