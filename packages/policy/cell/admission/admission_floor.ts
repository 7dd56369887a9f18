/**
 * The smallest share of submissions that is admitted whatever the forecast says, so that a small
 * organisation or a queue of wide jobs is not always the one refused, and a wrong forecast is
 * bounded.
 */

/**
 * One in this many submissions that would be refused is admitted. With the four retries of a
 * caller, about a quarter of the jobs that are always refused get in, whose work runs last.
 */
export const FLOOR_PERIOD = 16;

/** Counts the submissions that would be refused, for each key. */
export class AdmissionFloor {
  readonly #countByKey = new Map<string, number>();
  readonly #computePhase: (key: string) => number;

  private constructor(computePhase: (key: string) => number) {
    this.#computePhase = computePhase;
  }

  /**
   * `computePhase` returns in [0, 1) where the counter of a key starts. It differs between entries:
   * each of many entries sees too few submissions of one key to count up to the period.
   */
  static create(computePhase: (key: string) => number): AdmissionFloor {
    return new AdmissionFloor(computePhase);
  }

  /** Counts one submission; true if it is admitted by the floor. */
  admits(key: string): boolean {
    const count = this.#countByKey.get(key) ??
      Math.floor(this.#computePhase(key) * FLOOR_PERIOD);
    const isAdmitted = count % FLOOR_PERIOD === FLOOR_PERIOD - 1;
    this.#countByKey.set(key, isAdmitted ? 0 : count + 1);
    return isAdmitted;
  }
}
