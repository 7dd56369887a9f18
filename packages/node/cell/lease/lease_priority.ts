/**
 * Rules for which entry should hold the scheduler's lease: the one with the largest processor
 * share, as the lease holder has the most work.
 */
import { computeLongestAcquireDelayMs } from "./entry_count_delays.ts";

/**
 * The lease is handed over when an announced entry has this many times the holder's processor
 * share.
 */
const HANDOVER_RATIO = 1.5;
/**
 * Earliest handover after the lease was acquired. Larger entries that are starting or reconnecting
 * to the store are ready by then.
 */
const HANDOVER_DELAY_MS = 1_000;
/**
 * Minimum time between two handovers by any holder. The larger entries may be gone for good, and
 * each change of holder costs the cell about a second.
 */
const MINIMUM_HANDOVER_INTERVAL_MS = 20_000;
/** Processor shares that the entries announced, in cores of the reference speed. */
export interface ProcessorShares {
  readonly largest: number;
  /** Number of entries that announced a share. */
  readonly count: number;
}

/**
 * Milliseconds by which an entry delays its acquisition against the largest entry; grows with the
 * gap between their shares.
 */
export function computeAcquireDelayMs(
  ownShare: number,
  { largest, count }: ProcessorShares,
): number {
  if (largest <= ownShare) return 0;
  return (1 - ownShare / largest) * computeLongestAcquireDelayMs(count);
}

/** Input of the decision whether to hand the lease over. */
export interface HandoverState {
  readonly ownShare: number;
  readonly largestShare: number;
  readonly heldForMs: number;
  /** Time since any holder last handed the lease over. */
  readonly sinceHandoverMs: number;
}

/** Whether a much larger entry exists and the last acquisition and handover are long enough ago. */
export function isHandoverDue(state: HandoverState): boolean {
  return state.largestShare >= state.ownShare * HANDOVER_RATIO &&
    state.heldForMs >= HANDOVER_DELAY_MS &&
    state.sinceHandoverMs >= MINIMUM_HANDOVER_INTERVAL_MS;
}
