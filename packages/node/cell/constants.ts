/** Limits that several modules of the cell share. */

/**
 * One call of the store, all tries included. A store that is 77 times slower than usual, the most
 * seen on the users' bench, answers in 385 ms.
 */
export const STORE_TIMEOUT_MS = 900;
