/** Timings and limits of the placement decisions. */

/** Upper limit of the checkpoint time of evicted work, so that urgent work starts in time. */
export const RECLAIM_CHECKPOINT_LIMIT_MS = 2_000;
/** Waiting time after which a gang gets a backfill reservation. */
export const RESERVATION_DELAY_MS = 30_000;
/** The same for a single task; longer, because it fits more easily. */
export const SINGLE_TASK_RESERVATION_DELAY_MS = 600_000;
/** Upper limit of the share of workers with a backfill reservation. */
export const MAXIMUM_RESERVED_WORKER_SHARE = 0.25;
/** Waiting time that counts as much as a dominant share of the whole failure domain. */
export const AGEING_PERIOD_MS = 600_000;
/** Upper limit of placements in one call of `decide`; the rest follow in the next call. */
export const MAXIMUM_PLACEMENTS_PER_DECISION = 32;
/** Default limit of waiting jobs of one failure domain. */
export const MAXIMUM_QUEUED_JOBS = 50_000;

/** Time between two searches for a worker to empty. */
export const COMPACTION_PERIOD_MS = 5_000;
/** Least time between two moves of one job for compaction. */
export const COMPACTION_JOB_PERIOD_MS = 300_000;
/** Time for which an emptied worker gets no single tasks, so that a gang can use it. */
export const COMPACTION_COOLDOWN_MS = 5_000;
