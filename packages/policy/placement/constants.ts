/** Timings and limits of the placement decisions. */

/** Work evicted for a guarantee gets at most this long to checkpoint, so urgent work starts in time. */
export const RECLAIM_CHECKPOINT_LIMIT_MS = 2_000;
/** A gang that has waited this long gets capacity reserved. */
export const RESERVATION_AFTER_MS = 30_000;
/** The same for a single task, which fits more easily. */
export const SINGLE_RESERVATION_AFTER_MS = 600_000;
/** Share of the racks that waiting gangs may have reserved at once. */
export const MAXIMUM_RESERVED_RACK_SHARE = 0.25;
/** Waiting for this long weighs as much as the whole failure domain's dominant share. */
export const AGEING_MS = 600_000;
/** Placements in one call of `decide`; the rest follow in the next call. */
export const MAXIMUM_PLACEMENTS_PER_DECISION = 32;
export const MAXIMUM_QUEUED_JOBS = 50_000;

/** How often nearly empty workers are looked for. */
export const COMPACTION_PERIOD_MS = 5_000;
/** A job is moved for compaction at most this often. */
export const COMPACTION_JOB_PERIOD_MS = 300_000;
/** A worker that was emptied gets no new work for this long unless a whole gang needs it. */
export const COMPACTION_COOLDOWN_MS = 5_000;
