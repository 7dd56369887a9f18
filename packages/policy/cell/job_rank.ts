/**
 * Ranks waiting jobs: first urgent jobs covered by a guarantee, then by obtainable value per unit
 * of remaining work (weighted shortest processing time; Smith, 1956), last jobs that are too late
 * to have any value.
 */
import type { CellJobSpec, CellResources, StepSpec } from "./types.ts";

/** Priority of urgent jobs, which guarantees cover and for which other jobs may be evicted. */
export const URGENT_PRIORITY = 0;
/** Relative value of a job by its queue's priority; ratios of the platform's data sheets. */
const VALUE_BY_PRIORITY = [4, 3, 1] as const;
const LOWEST_VALUE = 1;
/** Share of a job's value that does not grow with its work (the platform's rules). */
export const BASE_VALUE_SHARE = 0.3;
/** Upper limit of a job's value, relative to its queue's mean job (the platform's rules). */
export const MAXIMUM_VALUE_FACTOR = 4;
/** A job later than this many times its objective has no value (the platform's rules). */
export const LATE_LIMIT_FACTOR = 3;
/** Share of its value that a late job keeps; close to that of the platform's data sheets. */
export const LATE_VALUE_SHARE = 0.3;

/** Share of a whole worker that one task needs, by its dominant resource. */
export function computeWorkerShare(
  need: CellResources,
  capacity: CellResources,
): number {
  const shares = [
    [need.cpuMilli, capacity.cpuMilli],
    [need.memoryMib, capacity.memoryMib],
    [need.accelerators, capacity.accelerators],
  ] as const;
  return Math.max(
    ...shares.map(([part, whole]) => whole > 0 ? part / whole : 0),
  );
}

/** Total work of a job in worker-milliseconds: tasks x estimate x share of a worker. */
export function computeWorkMs(
  steps: readonly StepSpec[],
  capacity: CellResources,
): number {
  return steps.reduce(
    (sum, step) =>
      sum +
      step.count * step.estimateMs * computeWorkerShare(step.need, capacity),
    0,
  );
}

/** Critical path through the steps by their estimates; steps for which `isDone` holds count 0. */
export function computeCriticalPathMs(
  steps: readonly StepSpec[],
  isDone: (step: number) => boolean = () => false,
): number {
  const ends: number[] = [];
  for (const [number, step] of steps.entries()) {
    const startMs = Math.max(0, ...step.after.map((other) => ends[other] ?? 0));
    ends.push(startMs + (isDone(number) ? 0 : step.estimateMs));
  }
  return Math.max(0, ...ends);
}

export interface JobRankInput {
  readonly spec: CellJobSpec;
  readonly criticalPathMs: number;
  /** Critical path through the steps that are not done. */
  readonly remainingCriticalPathMs: number;
  /** Total work in worker-milliseconds. */
  readonly workMs: number;
  readonly remainingWorkMs: number;
  /** Mean work of the jobs of its queue. */
  readonly meanWorkMs: number;
  /** Time since it was accepted, or since its occurrence was due. */
  readonly ageMs: number;
  readonly isGuaranteed: boolean;
}

/** Lower tiers come first; within a tier, the higher value per unit of remaining work. */
export interface Rank {
  readonly tier: number;
  readonly density: number;
}

/** Tiers: covered by a guarantee; any other; too late to have any value. */
export const RANK_TIER = { GUARANTEED: 0, ORDINARY: 1, WORTHLESS: 2 } as const;

/** Value of the job if it meets its objective, relative to a mean job of lowest priority. */
export function estimateValue(input: JobRankInput): number {
  const { spec, workMs, meanWorkMs } = input;
  const base = VALUE_BY_PRIORITY[spec.priority] ?? LOWEST_VALUE;
  const size = meanWorkMs > 0 ? workMs / meanWorkMs : 1;
  const factor = BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * size;
  return base * Math.min(MAXIMUM_VALUE_FACTOR, factor);
}

/** Time from acceptance within which the job has its whole value. */
export function computeObjectiveMs(input: JobRankInput): number {
  return input.spec.stretch * input.criticalPathMs +
    input.spec.allowanceMs;
}

/** Whether the job meets its objective if its remaining critical path starts after the delay. */
export function canMeetObjective(input: JobRankInput, delayMs = 0): boolean {
  const { ageMs, remainingCriticalPathMs } = input;
  return ageMs + delayMs + remainingCriticalPathMs <= computeObjectiveMs(input);
}

/** Rank of a job among the waiting ones. */
export function rankJob(input: JobRankInput): Rank {
  const {
    ageMs,
    remainingCriticalPathMs,
    remainingWorkMs,
    isGuaranteed,
  } = input;
  const isInTime = canMeetObjective(input);
  const isWorthless = ageMs + remainingCriticalPathMs >
    LATE_LIMIT_FACTOR * computeObjectiveMs(input);
  const share = isInTime ? 1 : LATE_VALUE_SHARE;
  const density = share * estimateValue(input) /
    Math.max(remainingWorkMs, 1);
  if (isGuaranteed) return { tier: RANK_TIER.GUARANTEED, density };
  return {
    tier: isWorthless ? RANK_TIER.WORTHLESS : RANK_TIER.ORDINARY,
    density,
  };
}

/** Value that the job loses if the delay makes it late; 0 if it is late already. */
export function computeLateLoss(
  input: JobRankInput,
  delayMs: number,
): number {
  const becomesLate = canMeetObjective(input) &&
    !canMeetObjective(input, delayMs);
  return becomesLate ? (1 - LATE_VALUE_SHARE) * estimateValue(input) : 0;
}

/** Comparator for sorting: negative if `left` comes first. */
export function compareRanks(left: Rank, right: Rank): number {
  return left.tier - right.tier || right.density - left.density;
}
