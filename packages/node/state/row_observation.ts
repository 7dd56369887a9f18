/**
 * Observing a beat on the observer's own monotonic clock. A beat lapses only after it stood still
 * through a full term in which the observer went on reading it; a gap in the reads, by a store
 * outage or by a pause of the observer, starts the term again.
 */
import { MAXIMUM_OBSERVATION_GAP_MS } from "../constants.ts";

/** What an observer remembers of one beat. */
export interface RowObservation {
  /** Differs whenever the row was written. */
  readonly rowVersion: number;
  /** When this row version was first read. */
  readonly sinceMs: number;
  /** When it was last read. */
  readonly lastReadMs: number;
}

/** Takes in one read that was answered at `nowMs`. */
export function observeRowVersion(
  previous: RowObservation | undefined,
  rowVersion: number,
  nowMs: number,
): RowObservation {
  const continues = previous !== undefined &&
    previous.rowVersion === rowVersion &&
    nowMs - previous.lastReadMs <= MAXIMUM_OBSERVATION_GAP_MS;
  const sinceMs = continues ? previous.sinceMs : nowMs;
  return { rowVersion, sinceMs, lastReadMs: nowMs };
}

/** How long the beat has stood still, counted only up to the last read. */
export function getUnchangedMs(observation: RowObservation): number {
  return observation.lastReadMs - observation.sinceMs;
}
