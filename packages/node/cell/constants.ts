/** Limits that several modules of the cell share. */

/**
 * Time-out of one call of the store, all tries included. A store 77 times slower than usual, the
 * slowest seen on the platform's benchmark, answers in 385 ms.
 */
export const STORE_TIMEOUT_MS = 900;

/** Each epoch of the lease has its own block of run numbers, so that run numbers always increase. */
export const RUNS_PER_EPOCH = 1_000_000;
/**
 * Epochs of stored leases. Half of those whose run numbers can be counted on exactly, so that the
 * ones that follow can be, too.
 */
export const MAXIMUM_EPOCH = Math.floor(
  Number.MAX_SAFE_INTEGER / RUNS_PER_EPOCH / 2,
);
/** Beats of stored leases, which increase four times a second. */
export const MAXIMUM_BEAT = Math.floor(Number.MAX_SAFE_INTEGER / 2);
