/** The type of a mutation: a deliberate fault, and the test that must fail because of it. */

/** A change of source text: `find` must occur exactly once in `file`, a path from the root. */
export interface Edit {
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}

/** One fault of `npm run mutations`. */
export interface Mutation extends Edit {
  /** What the fault makes the software do. */
  readonly name: string;
  /** The promise that the fault breaks, as scenarios or docs name it. */
  readonly promise: string;
  /** Edits made at the same time, where further checks prevent the same failure. */
  readonly furtherEdits?: readonly Edit[];
  /** Path of the mocha file with the test that must fail. */
  readonly spec: string;
  /** Part of the test's full title: mocha's `-g`, a regular expression. */
  readonly title: string;
}
