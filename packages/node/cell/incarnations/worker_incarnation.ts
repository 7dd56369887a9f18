/**
 * Which incarnation of a worker is the present one. The start time of an incarnation only identifies
 * it: the wall clock of a worker may be set back, so that a later incarnation names an earlier time.
 * The order follows from when reports were requested and received.
 */
import type { Clock } from "@coltsfootpond/common";

/**
 * What the incarnation that a report names means. `current`: the present one, or the first that has
 * reported; `new`: a later one, which has become the present one; `undecided`: another one, whose
 * report was requested before the present one was known, or which is not named.
 */
export type IncarnationStatus = "current" | "new" | "undecided";

/** Stands for an incarnation that a report does not name. */
const UNNAMED = 0;

/** The incarnation of one worker that reported last. */
export class WorkerIncarnation {
  readonly #clock: Clock;
  #startUnixMs: number | undefined;
  #firstReportedMs = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): WorkerIncarnation {
    return new WorkerIncarnation(clock);
  }

  /** Start of the present incarnation in Unix milliseconds; undefined before the first report. */
  get startUnixMs(): number | undefined {
    return this.#startUnixMs;
  }

  /** When the first report of the present incarnation was received. */
  get firstReportedMs(): number {
    return this.#firstReportedMs;
  }

  /** Applies the incarnation that a report names. */
  applyReport(startUnixMs: number, requestedMs: number): IncarnationStatus {
    if (startUnixMs === this.#startUnixMs) return "current";
    const isFirst = this.#startUnixMs === undefined;
    if (startUnixMs === UNNAMED && !isFirst) return "undecided";
    // A worker has one incarnation at a time. One that answers a request sent after the present one
    // was known is later; an answer to an earlier request may be of either.
    if (!isFirst && requestedMs <= this.#firstReportedMs) return "undecided";
    this.#startUnixMs = startUnixMs;
    this.#firstReportedMs = this.#clock.nowMs();
    return isFirst ? "current" : "new";
  }
}
