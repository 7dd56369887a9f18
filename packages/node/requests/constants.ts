/** Times, sizes and factors of the request filters. */

/** Longest time that a caller may wait for a job on one connection. */
export const MAXIMUM_WAIT_MS = 60_000;
/** Wait for a job when the caller's `Prefer` header has no `wait`. */
export const DEFAULT_WAIT_MS = 10_000;
/** `Retry-After` of a job that has not ended. */
export const JOB_POLL_RETRY_AFTER_MS = 1_000;
/** `Retry-After` when an entry cannot serve the request now; the minimum when it is estimated. */
export const MINIMUM_RETRY_AFTER_MS = 1_000;
export const MAXIMUM_REQUEST_ID_LENGTH = 128;
export const MAXIMUM_DEADLINE_MS = 86_400_000;

/** Time limit of claiming a keyed call in the table service, before the call is refused. */
export const TABLE_TIMEOUT_MS = 500;
/** Time limit of each read and write of a recorded answer; callers wait for the first write. */
export const RECORD_TIMEOUT_MS = 1_000;
/** Answers that may be pending in the background recorder. */
export const MAXIMUM_PENDING_RECORDS = 256;
/** Delay between writes of an answer while the platform is unavailable. */
export const RECORD_RETRY_DELAY_MS = 1_000;
export const MAXIMUM_RECORD_WRITES = 120;
/** A stop waits at most this long for pending records. */
export const RECORD_FLUSH_TIMEOUT_MS = 2_000;

/** Exponential backoff between the attempts of one call. */
export const BACKOFF = { baseMs: 10, maximumMs: 500 } as const;
export const MAXIMUM_ATTEMPTS = 5;
/** Retries that a service may make before its requests have earned any. */
export const RETRY_BUDGET_RESERVE = 10;
export const RETRY_BUDGET_MAXIMUM = 100;

/** Burst of a request rate: the tokens of this much time. */
export const RATE_BURST_MS = 1_000;
/** Requests of one service that may wait for admission. */
export const MAXIMUM_QUEUED_REQUESTS = 1_024;
export const MINIMUM_CONCURRENCY = 1;
/** Window over which refusals are counted before the concurrency limit is adjusted. */
export const CONCURRENCY_WINDOW_MS = 100;
/** Share of refused attempts in a window up to which the limit is not lowered. */
export const TOLERATED_REFUSAL_SHARE = 0.2;
/** Factors by which the limit is adjusted after a window. */
export const CONCURRENCY_DECREASE = 0.9;
export const CONCURRENCY_INCREASE = 1.1;
/** The limit is raised only when at least this share of it was used. */
export const CONCURRENCY_USED_SHARE = 0.9;
/** A call is queued only when its estimated wait is below this share of its spare time. */
export const QUEUE_WAIT_SHARE = 0.25;
/** The upper bound of a call's duration is the mean plus this many mean deviations. */
export const DURATION_DEVIATIONS = 3;
/** Samples before the estimate may refuse a call: one may be of a runner that is leaving. */
export const DURATION_MINIMUM_SAMPLES = 5;
/** Period of checks of waiting calls, for capacity that grew without a call ending. */
export const ADMISSION_CHECK_PERIOD_MS = 20;
/** Weight of a sample above the mean. */
export const DURATION_SMOOTHING = 0.1;
/** Weight of a sample below the mean. */
export const DURATION_RECOVERY = 0.3;
