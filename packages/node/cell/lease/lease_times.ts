/** Duration and renewal period of the scheduler's lease. */

/** Other entries may acquire a lease that has not been renewed for this long. */
export const SCHEDULER_LEASE_MS = 1_800;
/** Four renewals fit into the lease. */
export const RENEW_PERIOD_MS = 400;
