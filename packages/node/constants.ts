/** Timings and sizes of the entry's controllers. */

/** Upper bound on the time until a failure domain taken out of service starts no more tasks. */
export const DOMAIN_OUT_BOUND_MS = 3_000;
/** Upper bound on the time until an upstream reported as leaving gets no new work. */
export const UPSTREAM_LEAVING_BOUND_MS = 2_000;
/** An ownership expires when an observer has seen no renewal of its row for this long. */
export const OWNERSHIP_LEASE_MS = 5_000;
/**
 * The owner stops acting this long before its lease ends on its own clock. The lease less the
 * margin is below `DOMAIN_OUT_BOUND_MS`, so an owner that receives no notice of a failure domain
 * taken out also stops in time.
 */
export const OWNERSHIP_LEASE_MARGIN_MS = 2_200;
/** Each entry waits this much longer before a takeover than the next more preferred entry. */
export const OWNERSHIP_TAKEOVER_STAGGER_MS = 1_000;
/** A more preferred member gets a failure domain only after it was connected for this long. */
export const OWNERSHIP_REBALANCE_DELAY_MS = 30_000;
/** Period of the ownership checks, and so of the extensions in a cluster-wide outage. */
export const OWNERSHIP_CHECK_PERIOD_MS = 250;
/** Each check extends leases by this much during a cluster-wide outage of the table service. */
export const OWNERSHIP_LEASE_EXTENSION_MS = 750;
/** A timer that fires more than this after its due time means that the process was paused. */
export const PAUSE_THRESHOLD_MS = 1_000;
export const ENTRY_RENEWAL_PERIOD_MS = 5_000;
/** An entry expires when its row was not renewed for this long and it is not connected. */
export const ENTRY_EXPIRY_MS = 15_000;
/** After a longer gap between successful reads an observer restarts its observations. */
export const MAXIMUM_OBSERVATION_GAP_MS = 4_000;
/** Period of the read of all rows that the state controllers watch. */
export const STATE_POLL_PERIOD_MS = 2_000;
/** Time limit of a call to the table service or object store by a state controller. */
export const STATE_CALL_TIMEOUT_MS = 1_500;
export const DOMAIN_REBROADCAST_PERIOD_MS = 1_000;
/** Entries that received a change from a peer wait up to this long before they store it. */
export const DOMAIN_WRITE_JITTER_MS = 5_000;
export const OWNERSHIP_RENEWAL_PERIOD_MS = 1_000;
/** Lease of a running task on its worker, which the owner's commands renew. */
export const TASK_LEASE_MS = 20_000;
/** Period of worker reports while a task in the failure domain is being stopped or runs briefly. */
export const SHORTEST_REPORT_PERIOD_MS = 200;
/** Period of worker reports with nothing running, or only jobs that run for hours. */
export const LONGEST_REPORT_PERIOD_MS = 2_000;
/** A hold, the reservation of a task's resources on a worker, expires after this. */
export const HOLD_TTL_MS = 5_000;
/** An entry that could not confirm its configuration for this long starts nothing new. */
export const CONFIGURATION_FRESHNESS_MS = 10_000;
export const MESH_HEARTBEAT_PERIOD_MS = 1_000;
/** A mesh connection on which nothing was received for this long is closed. */
export const MESH_SILENCE_TIMEOUT_MS = 2_500;
export const MAXIMUM_MESH_FRAME_BYTES = 1_048_576;
/** Version of the mesh protocol; entries refuse connections of another version. */
export const MESH_VERSION = 1;
/** Timeline events that an entry keeps in memory. */
export const EVENT_RING_CAPACITY = 4_096;
/** How long an operator's change waits for acknowledgements of the connected entries. */
export const DOMAIN_ACKNOWLEDGE_TIMEOUT_MS = 1_000;
/** Entries read an announced configuration head after a random delay of up to this. */
export const CONFIGURATION_READ_JITTER_MS = 200;
/** While calls are relayed, a direct call to the table service is tried this often. */
export const RELAY_PROBE_PERIOD_MS = 2_000;
export const RELAY_CALL_TIMEOUT_MS = 800;
/** Calls that an entry makes for its peers concurrently. */
export const MAXIMUM_RELAYED_CALLS = 64;
