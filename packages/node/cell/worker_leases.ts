/**
 * What leases a worker may have, reckoned on its own clock: a lease is over for certain only when
 * the slowest clock that the users' protocol allows has passed the latest end ever sent.
 */
import type { Clock } from "@coltsfootpond/common";
import type { ResponseMetadata } from "@coltsfootpond/ports";

/** A worker's clock may be this much slow (the users' protocol). */
const SLOWEST_CLOCK_RATE = 0.98;
/** For the worker to end what runs past its lease. */
const EXPIRY_MARGIN_MS = 100;

export interface WorkerLeasesOptions {
  readonly clock: Clock;
  readonly leaseMaximumMs: number;
}

/** `old`: of an earlier life; `new_life`: the first of a later one. */
export type IncarnationStatus = "old" | "current" | "new_life";

/** Clock, life and leases of one worker. */
export class WorkerLeases {
  readonly #options: WorkerLeasesOptions;
  #incarnationStartUnixMs = 0;
  /** Since when nothing is known of the clock of the worker's present life. */
  #clockUnknownSinceMs: number;
  #sample:
    | { readonly workerClockMs: number; readonly receivedMs: number }
    | undefined;
  #latestLeaseEndMs = 0;

  private constructor(options: WorkerLeasesOptions) {
    this.#options = options;
    this.#clockUnknownSinceMs = options.clock.nowMs();
  }

  static create(options: WorkerLeasesOptions): WorkerLeases {
    return new WorkerLeases(options);
  }

  get incarnationStartUnixMs(): number {
    return this.#incarnationStartUnixMs;
  }

  /** Whether the clock of the present life is known. */
  get isClockKnown(): boolean {
    return this.#sample !== undefined;
  }

  /** Takes the life that a record or an answer tells; 0 tells nothing. */
  applyIncarnation(incarnationStartUnixMs: number): IncarnationStatus {
    if (
      incarnationStartUnixMs === 0 ||
      incarnationStartUnixMs === this.#incarnationStartUnixMs
    ) return "current";
    if (incarnationStartUnixMs < this.#incarnationStartUnixMs) return "old";
    const isFirst = this.#incarnationStartUnixMs === 0;
    this.#incarnationStartUnixMs = incarnationStartUnixMs;
    if (isFirst) return "current";
    this.#sample = undefined;
    this.#clockUnknownSinceMs = this.#options.clock.nowMs();
    return "new_life";
  }

  /** Takes the clock that an answer of the present life tells. */
  applyClock({ workerClockMs }: ResponseMetadata): void {
    const isFirst = this.#sample === undefined;
    if (workerClockMs >= (this.#sample?.workerClockMs ?? 0)) {
      const receivedMs = this.#options.clock.nowMs();
      this.#sample = { workerClockMs, receivedMs };
    }
    // Before, an earlier holder, or an order meant for an earlier life, may have given the longest.
    if (isFirst) {
      this.#latestLeaseEndMs = workerClockMs + this.#options.leaseMaximumMs;
    }
  }

  /** The end of a lease on the worker's clock; remembered, as it may take effect. */
  grant(durationMs: number): number {
    const { workerClockMs, receivedMs } = this.#sample ??
      { workerClockMs: 0, receivedMs: 0 };
    const elapsedMs = this.#options.clock.nowMs() - receivedMs;
    const leaseEndMs = Math.floor(workerClockMs + elapsedMs + durationMs);
    this.#latestLeaseEndMs = Math.max(this.#latestLeaseEndMs, leaseEndMs);
    return leaseEndMs;
  }

  /** Whether every lease of the worker has ended, however slow its clock. */
  haveLeasesExpired(): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (this.#sample === undefined) {
      const longestMs = this.#options.leaseMaximumMs / SLOWEST_CLOCK_RATE;
      return nowMs - this.#clockUnknownSinceMs > longestMs + EXPIRY_MARGIN_MS;
    }
    const { workerClockMs, receivedMs } = this.#sample;
    const leastClockMs = workerClockMs +
      (nowMs - receivedMs) * SLOWEST_CLOCK_RATE;
    return leastClockMs > this.#latestLeaseEndMs + EXPIRY_MARGIN_MS;
  }
}
