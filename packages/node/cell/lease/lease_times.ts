/** Duration and renewal period of the scheduler's lease. */

/**
 * Other entries may acquire a lease that has not been renewed for this long. An urgent job that
 * arrives as the holder is lost has about 1.5 s to spare; a shorter lease would need more renewals
 * and polls than the store allows for 1,000 entries.
 */
export const SCHEDULER_LEASE_MS = 1_300;
/** Five renewals fit into the lease. */
export const RENEW_PERIOD_MS = 250;
