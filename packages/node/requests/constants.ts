/** Timings and sizes of the request filters. */

/** Longest wait that a caller may ask for on one connection. */
export const MAXIMUM_WAIT_MS = 60_000;
/** Wait for a job whose caller named none. */
export const DEFAULT_WAIT_MS = 10_000;
/** When a caller may ask for an unfinished job again. */
export const POLL_AGAIN_MS = 1_000;
/** When a caller may come back to an entry that cannot serve it now. */
export const UNREADY_RETRY_AFTER_MS = 1_000;
export const MAXIMUM_REQUEST_ID_LENGTH = 128;
export const MAXIMUM_DEADLINE_MS = 86_400_000;

/** Patience with the table service before a keyed call is refused. */
export const TABLE_PATIENCE_MS = 500;
/** Patience with the object store before an answer is passed on unrecorded. */
export const RECORD_PATIENCE_MS = 1_000;
/** Answers of keyed idempotent calls that may wait to be recorded. */
export const MAXIMUM_PENDING_RECORDS = 256;
/** Pause between tries to record an answer while the platform is unavailable. */
export const RECORD_AGAIN_MS = 1_000;
export const MAXIMUM_RECORD_TRIES = 120;
/** A stop waits this long for answers that are still to be recorded. */
export const RECORD_FLUSH_MS = 2_000;

/** Backoff between the attempts of one call. */
export const BACKOFF = { baseMs: 10, maximumMs: 500 } as const;
export const MAXIMUM_ATTEMPTS = 5;
/** Retries that a service may make before its share of fresh requests allows any. */
export const RETRY_BUDGET_RESERVE = 10;
export const RETRY_BUDGET_MAXIMUM = 100;

/** Longest burst that a request rate lets through at once. */
export const RATE_BURST_MS = 1_000;
/** Requests of one service that may wait for a slot. */
export const MAXIMUM_QUEUED_REQUESTS = 1_024;
export const MINIMUM_CONCURRENCY = 1;
/** Time over which refusals are counted before the limit moves. */
export const CONCURRENCY_WINDOW_MS = 100;
/** Share of refused attempts in a window that leaves the limit alone. */
export const TOLERATED_REFUSAL_SHARE = 0.2;
/** Factors on the limit after a window. */
export const CONCURRENCY_DECREASE = 0.9;
export const CONCURRENCY_INCREASE = 1.1;
/** The limit rises only when at least this share of it was used. */
export const CONCURRENCY_USED_SHARE = 0.9;
/** A call waits in the queue for at most this share of its remaining time. */
export const QUEUE_WAIT_SHARE = 0.25;
/** Mean deviations that a call may take longer than the mean. */
export const DURATION_DEVIATIONS = 3;
/** Answers before the estimated time refuses a call: one sample may be of a runner that is leaving. */
export const DURATION_MINIMUM_SAMPLES = 5;
/** Waiting calls are looked at again this often, for capacity that came back by itself. */
export const ADMISSION_CHECK_MS = 20;
export const DURATION_SMOOTHING = 0.1;
/** Smoothing of samples below the mean. */
export const DURATION_RECOVERY = 0.3;
