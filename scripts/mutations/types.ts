/** One deliberate fault, and the test that must fail on it. */

/** `find` stands exactly once in `file` and is replaced by `replace`. */
export interface Edit {
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}

export interface Mutation extends Edit {
  readonly name: string;
  /** The promise of the brief that the fault breaks. */
  readonly promise: string;
  /** Further edits, where a second guard stands behind the first. */
  readonly also?: readonly Edit[];
  /** The mocha spec that must fail, and a part of a test's title within it. */
  readonly spec: string;
  readonly title: string;
}
