/**
 * Delays that grow with the number of entries, because all of them share the store's rate limits.
 * Each has an upper bound, so that a change of the lease is seen well within its duration however
 * many entries there are.
 */
import { SCHEDULER_LEASE_MS } from "./lease_times.ts";

/**
 * Delay of a poll of the store's changes, for each other entry; up to the maximum, all entries
 * together poll 200 times a second.
 */
const FOLLOW_DELAY_PER_PEER_MS = 5;
/** The time until a renewal is due and that of the poll itself are added to it. */
const MAXIMUM_FOLLOW_DELAY_MS = 0.4 * SCHEDULER_LEASE_MS;
/**
 * Twice the delay of polls: entries poll, and so see a change of the lease row, at different times.
 */
const ACQUIRE_DELAY_FACTOR = 2;
const MINIMUM_HANDOVER_BACKOFF_MS = 1_000;

/** Milliseconds that an entry which does not hold the lease waits before its next poll. */
export function computeFollowDelayMs(peers: number): number {
  return Math.min(peers * FOLLOW_DELAY_PER_PEER_MS, MAXIMUM_FOLLOW_DELAY_MS);
}

/** Longest time in milliseconds by which the smallest entry delays its acquisition. */
export function computeLongestAcquireDelayMs(entries: number): number {
  return ACQUIRE_DELAY_FACTOR * computeFollowDelayMs(entries);
}

/** Time in milliseconds after a handover in which the old holder does not compete. */
export function computeHandoverBackoffMs(entries: number): number {
  return Math.max(
    MINIMUM_HANDOVER_BACKOFF_MS,
    2 * computeLongestAcquireDelayMs(entries),
  );
}
