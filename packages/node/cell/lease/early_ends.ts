/**
 * Rules for tenures of the scheduler's lease that end early: the scheduler has failed, or the
 * process of the holder has ended. Counts are kept in the lease's row, as the processes that they
 * are about do not last (decision 0013).
 */
import type { LeaseRow } from "../rows.ts";
import { isCount } from "../state_rows/value_checks.ts";
import { RENEW_PERIOD_MS } from "./lease_times.ts";

/**
 * The part of the scheduler that failed. Without its `start` nothing is scheduled and no lease of a
 * task renewed; with a failing `round`, runs go on and nothing new starts.
 */
export type SchedulerFailure = "start" | "round";

/** Least tenure after one earlier failure, doubled with each further one up to the maximum. */
const MINIMUM_TENURE_MS = 1_000;
/** Below the longest lease of a task, so that its runs are renewed by the next holder. */
const MAXIMUM_START_TENURE_MS = 4_000;
/** Each change of holder costs the cell about a second. */
const MAXIMUM_ROUND_TENURE_MS = 60_000;
/** After this time without a failure, earlier ones no longer count. */
export const SOUND_TENURE_MS = 2 * MAXIMUM_ROUND_TENURE_MS;
/** A tenure with fewer renewals, about a minute, that ends with its process is a short one. */
const SHORT_TENURE_RENEWALS = 60_000 / RENEW_PERIOD_MS;
/** A restarted process takes the lease back at once after so many short tenures in a row. */
const MAXIMUM_SHORT_TENURES = 1;

/**
 * How long a holder whose scheduler fails keeps the lease, after `failures` tenures in a row that
 * ended by a failure. The first gives it back at once, as a new scheduler starts from the store; a
 * fault that all holders have must not keep the lease changing hands.
 */
export function computeLeastTenureMs(
  failure: SchedulerFailure,
  failures: number,
): number {
  if (failures === 0) return 0;
  const tenureMs = MINIMUM_TENURE_MS * 2 ** failures;
  switch (failure) {
    case "start":
      return Math.min(MAXIMUM_START_TENURE_MS, tenureMs);
    case "round":
      return Math.min(MAXIMUM_ROUND_TENURE_MS, tenureMs);
  }
}

/** A count of the row; 0 if the row has none that is usable. */
export function readCount(value: unknown): number {
  return isCount(value) ? value : 0;
}

/** Short tenures in a row of the row's holder, if its process has ended. */
export function countShortTenures(lease: LeaseRow): number {
  const { beat, acquiredBeat } = lease;
  // The tenure of an earlier version's process, or of an unusable count, counts as a long one.
  if (!isCount(acquiredBeat)) return 0;
  return beat - acquiredBeat < SHORT_TENURE_RENEWALS
    ? readCount(lease.shortTenures) + 1
    : 0;
}

/**
 * Whether a restarted process of the row's holder may take the lease back at once. One that ends
 * again and again leaves it to another entry for the time of the lease.
 */
export function mayTakeBack(lease: LeaseRow): boolean {
  return countShortTenures(lease) <= MAXIMUM_SHORT_TENURES;
}
