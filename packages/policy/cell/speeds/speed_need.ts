/** The speed that a unit needs of its workers so that its job meets its objective. */
import {
  computeObjectiveMs,
  type JobRankInput,
  LATE_LIMIT_FACTOR,
} from "../job_rank.ts";
import type { WorkerView } from "../types.ts";

/**
 * Tasks of one step differ by 15 to 30% in length, and a step ends with its longest one: a job needs
 * this much more time than its estimates say.
 */
const LENGTH_MARGIN = 1.3;

/** The speeds of the usable workers, ascending; each one once. */
export function listSpeeds(workers: readonly WorkerView[]): readonly number[] {
  return [...new Set(workers.map(({ speed }) => speed))].sort((left, right) =>
    left - right
  );
}

/**
 * The slowest speed with which the job still meets its objective or, if no worker is fast enough for
 * that, ends before it has lost all value. Undefined where any of the speeds does, or none.
 */
export function computeMinimumSpeed(
  input: JobRankInput,
  speeds: readonly number[],
): number | undefined {
  const [slowest] = speeds;
  const fastest = speeds.at(-1);
  if (slowest === undefined || fastest === undefined) return undefined;
  if (slowest === fastest) return undefined;
  const objectiveMs = computeObjectiveMs(input);
  for (const limitMs of [objectiveMs, LATE_LIMIT_FACTOR * objectiveMs]) {
    const remainingMs = limitMs - input.ageMs;
    if (remainingMs <= 0) continue;
    const needed = LENGTH_MARGIN * input.remainingCriticalPathMs / remainingMs;
    if (needed <= fastest) return needed <= slowest ? undefined : needed;
  }
  return undefined;
}
