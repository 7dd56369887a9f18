/** Which entry the lease goes to when several want it: the largest, as the holder needs the most. */

/** Longest head start of the largest entry, for each entry: twice what they follow the row apart. */
const ACQUIRE_DELAY_PER_PEER_MS = 10;
/** A holder hands the lease over when an announced entry has this many times its processor share. */
const HANDOVER_RATIO = 1.5;
/** After taking the lease: larger entries that start or regain the store just now are back by then. */
const HANDOVER_DELAY_MS = 1_000;
/**
 * Between two handovers, by whichever holder: the larger entries may be gone for good, and each change
 * of holder costs the cell about a second.
 */
const HANDOVER_PERIOD_MS = 20_000;
/** After handing over, the others go first: twice the longest head start of 50 entries, rounded up. */
export const HANDOVER_BACKOFF_MS = 1_000;

/** What entries announced of their processor shares. */
export interface ProcessorShares {
  readonly largest: number;
  /** Entries that announced one. */
  readonly count: number;
}

/** How much later an entry tries than the largest one, in milliseconds. */
export function computeAcquireDelayMs(
  ownShare: number,
  { largest, count }: ProcessorShares,
): number {
  if (largest <= ownShare) return 0;
  return (1 - ownShare / largest) * count * ACQUIRE_DELAY_PER_PEER_MS;
}

/** What a handover depends on. */
export interface HandoverState {
  readonly ownShare: number;
  readonly largestShare: number;
  readonly heldForMs: number;
  /** Since any holder last handed the lease over. */
  readonly sinceHandoverMs: number;
}

/** Whether a much larger entry could hold the lease, and none was let go first of late. */
export function isHandoverDue(state: HandoverState): boolean {
  return state.largestShare >= state.ownShare * HANDOVER_RATIO &&
    state.heldForMs >= HANDOVER_DELAY_MS &&
    state.sinceHandoverMs >= HANDOVER_PERIOD_MS;
}
