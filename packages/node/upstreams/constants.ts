/** Timings and sizes of the upstream pool. */

export const RUN_PATH = "/run";
export const CONNECTIONS_PER_RUNNER = 8;
export const CONNECT_TIMEOUT_MS = 1_000;
export const MAXIMUM_ANSWER_BYTES = 16 * 1_048_576;
/** A connection is closed rather than used again after this age. */
export const MAXIMUM_CONNECTION_AGE_MS = 60_000;
/** An idle connection older than this is not used again. */
export const MAXIMUM_IDLE_MS = 10_000;
/** An idle connection not proven within this time is not used for non-idempotent requests. */
export const MAXIMUM_IDLE_NON_IDEMPOTENT_MS = 1_000;

export const VM_POLL_PERIOD_MS = 1_000;
export const VM_POLL_TIMEOUT_MS = 1_000;

/** Failures in a row after which a runner is ejected. */
export const CONSECUTIVE_FAILURES = 3;
/** Failures to connect in a row after which a runner is ejected. */
export const CONSECUTIVE_UNREACHABLE = 2;
/** Smoothed share of failures above which a runner is ejected. */
export const EJECTION_FAILURE_SHARE = 0.5;
export const FAILURE_SMOOTHING = 0.1;
export const EJECTION_BASE_MS = 1_000;
export const EJECTION_MAXIMUM_MS = 30_000;
/** At most this share of a service's runners is ejected at once. */
export const MAXIMUM_EJECTED_SHARE = 0.5;
/** A runner that comes back is given its full load over this time. */
export const SLOW_START_MS = 3_000;

/** Time in which the weight of a report falls to 1/e. */
export const REPORT_DECAY_MS = 1_000;

/**
 * After a refusal for want of a slot nothing is borrowed of that runner for this time, as long as a
 * report counts: calls that wait for another try hold no slot, so reports show room that they need.
 */
export const BORROWING_PAUSE_MS = REPORT_DECAY_MS;

/** An attempt that waits for room looks again this often. */
export const SLOT_CHECK_PERIOD_MS = 10;
