/**
 * Observes on the observer's own monotonic clock how long a row has not been renewed. A lease
 * counts as expired only after the row was unchanged for its full length while the observer kept
 * reading it; a gap in the reads, by an outage of the table service or a pause of the observer,
 * restarts the observation.
 */
import { MAXIMUM_OBSERVATION_GAP_MS } from "../constants.ts";

/** The reads of one row version; times are on the observer's clock. */
export interface RowObservation {
  /** Version of the row, which rises with every write; 0 for an absent row. */
  readonly rowVersion: number;
  /** When this row version was first read. */
  readonly sinceMs: number;
  /** When it was last read. */
  readonly lastReadMs: number;
}

/** The observation after a read that was answered at `nowMs`. */
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

/** How long the row has been unchanged, counted only up to the last read. */
export function getUnchangedMs(observation: RowObservation): number {
  return observation.lastReadMs - observation.sinceMs;
}
