/** Limits that several modules of the cell share. */

/**
 * Time-out of one call of the store, all tries included. A store 77 times slower than usual, the
 * slowest seen on the platform's benchmark, answers in 385 ms.
 */
export const STORE_TIMEOUT_MS = 900;
