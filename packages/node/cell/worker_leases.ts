/**
 * The leases granted to one worker; their ends are times on the worker's clock. A lease has expired
 * for certain only when the slowest clock that the platform's protocol allows has passed the latest
 * lease end ever sent.
 */
import type { Clock } from "@coltsfootpond/common";
import type { ReportMetadata } from "@coltsfootpond/ports";
import type { LogFields } from "./log.ts";

/** Lowest rate of a worker's clock (the platform's protocol). */
const SLOWEST_CLOCK_RATE = 0.98;
/**
 * Bounds of what the worker's clock may show beyond the time that has passed: two clocks of this
 * rate, and the delays of the process between reading its clock and using it.
 */
const FASTEST_CLOCK_RATE = 1.1;
const CLOCK_TOLERANCE_MS = 1_000;
/** Time for the worker to end runs whose lease has expired. */
const EXPIRY_MARGIN_MS = 100;

/** Longest time for which a lease of the maximum length may hold, on the slowest clock. */
export function computeLongestLeaseMs(leaseMaximumMs: number): number {
  return leaseMaximumMs / SLOWEST_CLOCK_RATE + EXPIRY_MARGIN_MS;
}

/** The worker's clock in a report, and when this process requested and received it. */
interface ClockSample {
  readonly workerClockMs: number;
  readonly requestedMs: number;
  readonly receivedMs: number;
}

export interface WorkerLeasesOptions {
  readonly clock: Clock;
  readonly leaseMaximumMs: number;
}

/** Clock and leases of the present incarnation of one worker. */
export class WorkerLeases {
  readonly #options: WorkerLeasesOptions;
  /**
   * When this object was created, a later incarnation was first seen, or a lease was granted since
   * then; used until there is a sample of the incarnation's clock.
   */
  #clockUnknownSinceMs: number;
  #sample: ClockSample | undefined;
  #latestLeaseEndMs = 0;

  private constructor(options: WorkerLeasesOptions) {
    this.#options = options;
    this.#clockUnknownSinceMs = options.clock.nowMs();
  }

  static create(options: WorkerLeasesOptions): WorkerLeases {
    return new WorkerLeases(options);
  }

  /** Whether there is a sample of the clock of the present incarnation. */
  get isClockKnown(): boolean {
    return this.#sample !== undefined;
  }

  /** Resets for a later incarnation, or if the newest sample of the clock may be wrong. */
  forgetClock(): void {
    this.#sample = undefined;
    this.#clockUnknownSinceMs = this.#options.clock.nowMs();
  }

  /**
   * Whether a report of the present incarnation, requested at `requestedMs`, and the newest sample
   * can be of one steady clock. If not, one of them is wrong, and leases that are judged by it seem
   * to expire too early or never.
   */
  isPlausible({ workerClockMs }: ReportMetadata, requestedMs: number): boolean {
    const sample = this.#sample;
    if (sample === undefined) return true;
    const elapsedMs = this.#options.clock.nowMs() - sample.requestedMs;
    const changeMs = workerClockMs - sample.workerClockMs;
    // A report that was requested before the sample arrived may be older than the sample.
    const isLater = requestedMs > sample.receivedMs;
    return changeMs <= elapsedMs * FASTEST_CLOCK_RATE + CLOCK_TOLERANCE_MS &&
      (!isLater || changeMs >= -CLOCK_TOLERANCE_MS);
  }

  /** Applies the clock of a report of the present incarnation, requested at `requestedMs`. */
  applyClock({ workerClockMs }: ReportMetadata, requestedMs: number): void {
    const isFirst = this.#sample === undefined;
    if (workerClockMs >= (this.#sample?.workerClockMs ?? 0)) {
      const receivedMs = this.#options.clock.nowMs();
      this.#sample = { workerClockMs, requestedMs, receivedMs };
    }
    // An earlier lease holder of the cell may already have granted this worker a lease of the
    // maximum length.
    if (isFirst) {
      this.#latestLeaseEndMs = workerClockMs + this.#options.leaseMaximumMs;
    }
  }

  /**
   * Returns the end of a new lease on the worker's clock, and records it: the command that carries
   * the lease may take effect even if it is not answered.
   */
  grant(durationMs: number): number {
    const leaseEndMs = this.#computeLeaseEnd(durationMs);
    this.#recordLeaseEnd(leaseEndMs);
    return leaseEndMs;
  }

  /**
   * Returns the end of a short lease that a start carries, but records one of the maximum length:
   * the protocol does not rule out that a start without an answer is carried out by a later
   * incarnation, which reads the end on a clock of its own (decision 0011).
   */
  grantForStart(durationMs: number): number {
    this.#recordLeaseEnd(this.#computeLeaseEnd(this.#options.leaseMaximumMs));
    return this.#computeLeaseEnd(durationMs);
  }

  #computeLeaseEnd(durationMs: number): number {
    const { workerClockMs, receivedMs } = this.#sample ??
      { workerClockMs: 0, receivedMs: 0 };
    const elapsedMs = this.#options.clock.nowMs() - receivedMs;
    return Math.floor(workerClockMs + elapsedMs + durationMs);
  }

  #recordLeaseEnd(leaseEndMs: number): void {
    // Without its clock, the incarnation may hold any lease for the maximum time.
    if (!this.isClockKnown) {
      this.#clockUnknownSinceMs = this.#options.clock.nowMs();
    }
    this.#latestLeaseEndMs = Math.max(this.#latestLeaseEndMs, leaseEndMs);
  }

  /** What `haveLeasesExpired` is concluded from, for the log. */
  describe(): LogFields {
    return {
      latestLeaseEndMs: this.#latestLeaseEndMs,
      workerClockMs: this.#sample?.workerClockMs,
      sampleAgeMs: Math.round(
        this.#options.clock.nowMs() -
          (this.#sample?.receivedMs ?? this.#clockUnknownSinceMs),
      ),
    };
  }

  /** Whether every lease of the worker has expired, even on the slowest clock. */
  haveLeasesExpired(): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (this.#sample === undefined) {
      return nowMs - this.#clockUnknownSinceMs >
        computeLongestLeaseMs(this.#options.leaseMaximumMs);
    }
    const { workerClockMs, receivedMs } = this.#sample;
    const leastClockMs = workerClockMs +
      (nowMs - receivedMs) * SLOWEST_CLOCK_RATE;
    return leastClockMs > this.#latestLeaseEndMs + EXPIRY_MARGIN_MS;
  }
}
