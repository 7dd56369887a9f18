/** Timings and sizes of the entry's controllers. */

/** A failure domain taken out gets no task start later than this. */
export const DOMAIN_OUT_BOUND_MS = 3_000;
/** An upstream that is leaving gets no new work later than this after the news. */
export const UPSTREAM_LEAVING_BOUND_MS = 2_000;
/** Term for which an observer waits without a beat before an ownership counts as lapsed. */
export const OWNERSHIP_TERM_MS = 5_000;
/** The holder stops acting this long before the term ends on its own clock. */
export const OWNERSHIP_MARGIN_MS = 1_500;
export const OWNERSHIP_BEAT_MS = 1_000;
export const TASK_LEASE_MS = 20_000;
export const HOLD_TTL_MS = 5_000;
/** An entry that could not confirm the configuration head for this long starts nothing new. */
export const CONFIGURATION_FRESHNESS_MS = 10_000;
export const CONFIGURATION_POLL_MS = 2_000;
export const MESH_HEARTBEAT_MS = 500;
export const MESH_SILENCE_MS = 2_000;
export const MESH_MAXIMUM_FRAME_BYTES = 1_048_576;
export const MESH_VERSION = 1;
export const EVENT_RING_CAPACITY = 4_096;
