/** Timings and sizes of the entry's controllers. */

/** A failure domain taken out gets no task start later than this. */
export const DOMAIN_OUT_BOUND_MS = 3_000;
/** An upstream that is leaving gets no new work later than this after the news. */
export const UPSTREAM_LEAVING_BOUND_MS = 2_000;
/** Term for which an observer waits without a beat before an ownership counts as lapsed. */
export const OWNERSHIP_LEASE_MS = 5_000;
/**
 * The holder stops acting this long before the term ends on its own clock. Term less margin stays
 * below `DOMAIN_OUT_BOUND_MS`: a holder that hears of nothing stops in time all the same.
 */
export const OWNERSHIP_LEASE_MARGIN_MS = 2_200;
/** The second preferred entry waits this much longer than the first, and so on. */
export const OWNERSHIP_TAKEOVER_STAGGER_MS = 1_000;
/** A better preferred member must have been connected this long before it is handed a domain. */
export const OWNERSHIP_REBALANCE_DELAY_MS = 30_000;
/** Period of the checks of ownership; also the longest extension in a closed world. */
export const OWNERSHIP_CHECK_PERIOD_MS = 250;
export const OWNERSHIP_LEASE_EXTENSION_MS = 750;
/** A timer that fires later than this beyond its due time means the process was paused. */
export const PAUSE_THRESHOLD_MS = 1_000;
export const ENTRY_RENEWAL_PERIOD_MS = 5_000;
/** An entry whose row stood still for this long, and that is not in contact, has lapsed. */
export const ENTRY_EXPIRY_MS = 15_000;
/** Without a successful read for this long an observer starts its observations again. */
export const MAXIMUM_OBSERVATION_GAP_MS = 4_000;
export const STATE_POLL_PERIOD_MS = 2_000;
export const STATE_CALL_TIMEOUT_MS = 1_500;
export const DOMAIN_REBROADCAST_PERIOD_MS = 1_000;
/** Entries other than the first wait up to this long before they make a change durable. */
export const DOMAIN_WRITE_JITTER_MS = 5_000;
export const OWNERSHIP_RENEWAL_PERIOD_MS = 1_000;
export const TASK_LEASE_MS = 20_000;
/** Period of the reports of a failure domain while something there is asked to go or runs briefly. */
export const SHORTEST_REPORT_PERIOD_MS = 200;
/** With nothing running, or only jobs of hours. */
export const LONGEST_REPORT_PERIOD_MS = 2_000;
export const HOLD_TTL_MS = 5_000;
/** An entry that could not confirm the configuration head for this long starts nothing new. */
export const CONFIGURATION_FRESHNESS_MS = 10_000;
export const MESH_HEARTBEAT_PERIOD_MS = 1_000;
export const MESH_SILENCE_TIMEOUT_MS = 2_500;
export const MAXIMUM_MESH_FRAME_BYTES = 1_048_576;
export const MESH_VERSION = 1;
export const EVENT_RING_CAPACITY = 4_096;
/** How long an operator's change waits for the connected entries to acknowledge it. */
export const DOMAIN_ACKNOWLEDGE_TIMEOUT_MS = 1_000;
/** Entries that hear of a new head read it within this time. */
export const CONFIGURATION_READ_JITTER_MS = 200;
/** While direct calls to the table fail, one is tried again this often. */
export const RELAY_PROBE_PERIOD_MS = 2_000;
export const RELAY_CALL_TIMEOUT_MS = 800;
/** Most calls that an entry makes for its peers at once. */
export const MAXIMUM_RELAYED_CALLS = 64;
