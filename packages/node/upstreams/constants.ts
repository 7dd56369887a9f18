/** Times, sizes and thresholds of the upstream pool. */

/** Path of a runner that receives attempts by `POST`. */
export const RUN_PATH = "/run";
export const CONNECTIONS_PER_RUNNER = 8;
export const CONNECT_TIMEOUT_MS = 1_000;
export const MAXIMUM_ANSWER_BYTES = 16 * 1_048_576;
/** A connection older than this is closed instead of reused. */
export const MAXIMUM_CONNECTION_AGE_MS = 60_000;
/** A connection that was idle for longer than this is not reused. */
export const MAXIMUM_IDLE_MS = 10_000;
/** A connection that was idle for longer than this is not reused for non-idempotent calls. */
export const MAXIMUM_IDLE_NON_IDEMPOTENT_MS = 1_000;

export const VM_POLL_PERIOD_MS = 1_000;
export const VM_POLL_TIMEOUT_MS = 1_000;

/** Consecutive failures after which a runner is ejected. */
export const CONSECUTIVE_FAILURES = 3;
/** Consecutive failures to connect after which a runner is ejected. */
export const CONSECUTIVE_UNREACHABLE = 2;
/** Smoothed share of failed attempts above which a runner is ejected. */
export const EJECTION_FAILURE_SHARE = 0.5;
/** Weight of the newest attempt in the smoothed share of failures. */
export const FAILURE_SMOOTHING = 0.1;
/** Time of the first ejection; each further one is twice as long, up to the maximum. */
export const EJECTION_BASE_MS = 1_000;
export const EJECTION_MAXIMUM_MS = 30_000;
/** At most this share of a service's runners is ejected at the same time. */
export const MAXIMUM_EJECTED_SHARE = 0.5;
/** After an ejection the load of a runner rises to its full share over this time. */
export const SLOW_START_MS = 3_000;

/** Time in which the weight of a load report decays to 1/e. */
export const REPORT_DECAY_MS = 1_000;

/**
 * After a runner refused an attempt for lack of a slot, this entry borrows none of its slots for
 * this time, the decay time of a report's weight. Refused calls that wait for a retry occupy no
 * slot, so reports show as free the slots that these calls need.
 */
export const BORROWING_PAUSE_MS = REPORT_DECAY_MS;

/** An attempt that waits for a slot checks for one this often. */
export const SLOT_CHECK_PERIOD_MS = 10;
