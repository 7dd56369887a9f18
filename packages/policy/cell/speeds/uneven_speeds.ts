/**
 * Whether the workers of a cell differ in speed as a whole. In a cell of equal workers, the noise of
 * the estimates makes single workers seem slow or fast; choosing workers by that costs urgent jobs
 * more than it gains.
 */

/** Share of the known workers of other speeds than the usual one from which speeds count. */
const UNEVEN_SHARE = 0.2;
/** The verdict is taken back below this share, so that it does not alternate. */
const EVEN_SHARE = 0.1;
/** Fewer workers of other speeds say too little about the cell while few workers are known. */
const MINIMUM_CELL_SHARE = 0.02;

export interface SpeedCounts {
  /** Workers that count as slower or faster than usual. */
  readonly unusualWorkers: number;
  /** Workers whose speed is known, these among them. */
  readonly knownWorkers: number;
  /** All workers of the cell. */
  readonly workers: number;
}

/** Whether speeds are to be used in decisions, given whether they are used now. */
export function areSpeedsUneven(
  { unusualWorkers, knownWorkers, workers }: SpeedCounts,
  present: boolean,
): boolean {
  if (unusualWorkers === 0) return false;
  if (unusualWorkers < MINIMUM_CELL_SHARE * workers) return false;
  const share = present ? EVEN_SHARE : UNEVEN_SHARE;
  return unusualWorkers >= share * knownWorkers;
}
