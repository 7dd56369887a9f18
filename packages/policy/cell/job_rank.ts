/**
 * Order of waiting work: urgent work that a guarantee covers, then by worth that can still be won
 * per unit of remaining work (weighted shortest processing time; Smith, 1956), then what can earn
 * nothing any more.
 */
import type { CellJobSpec, CellResources, StepSpec } from "./types.ts";

/** Relative worth of a job by its queue's priority; the ratios of the users' sheets. */
const WORTH_BY_PRIORITY = [4, 3, 1] as const;
const LOWEST_WORTH = 1;
/** Share of a job's worth that does not grow with its work (the users' rules). */
export const BASE_VALUE_SHARE = 0.3;
/** A job counts for at most this many times its queue's usual worth (the users' rules). */
export const MAXIMUM_VALUE_FACTOR = 4;
/** Past this many times its objective a job earns nothing (the users' rules). */
export const LATE_LIMIT_FACTOR = 3;
/** Share of the worth that a late job earns, about that of the users' sheets. */
const LATE_WORTH_SHARE = 0.3;

/** Work of one task in accelerator-milliseconds, by its scarcest resource. */
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

/** Total work of a job: tasks x estimate x share of a worker. */
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

/** Longest chain of estimates through the steps, those that `isDone` names left out. */
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

/** What the order of one job depends on. */
export interface JobRankInput {
  readonly spec: CellJobSpec;
  readonly criticalPathMs: number;
  /** The part of the chain that is not done. */
  readonly remainingCriticalPathMs: number;
  /** All of its work and what is left of it, in worker-milliseconds. */
  readonly workMs: number;
  readonly remainingWorkMs: number;
  /** Mean work of the jobs of its queue. */
  readonly meanWorkMs: number;
  /** Since it was accepted, or since its occurrence was due. */
  readonly ageMs: number;
  readonly isGuaranteed: boolean;
}

/** Lower tiers go first; within a tier the higher density. */
export interface Rank {
  readonly tier: number;
  readonly density: number;
}

export const RANK_TIER = { GUARANTEED: 0, ORDINARY: 1, WORTHLESS: 2 } as const;

/** Worth of a job that meets its objective. */
export function estimateValue(standing: JobRankInput): number {
  const { spec, workMs, meanWorkMs: usualWorkMs } = standing;
  const base = WORTH_BY_PRIORITY[spec.priority] ?? LOWEST_WORTH;
  const size = usualWorkMs > 0 ? workMs / usualWorkMs : 1;
  const factor = BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * size;
  return base * Math.min(MAXIMUM_VALUE_FACTOR, factor);
}

/** Time from acceptance within which the job earns its whole worth. */
export function computeObjectiveMs(standing: JobRankInput): number {
  return standing.spec.stretch * standing.criticalPathMs +
    standing.spec.allowanceMs;
}

/** Whether the job still meets its objective if all of its remaining chain starts after a delay. */
export function canMeetObjective(standing: JobRankInput, delayMs = 0): boolean {
  const { ageMs, remainingCriticalPathMs: remainingChainMs } = standing;
  return ageMs + delayMs + remainingChainMs <= computeObjectiveMs(standing);
}

/** Rank of a job among those that wait. */
export function rankJob(standing: JobRankInput): Rank {
  const {
    ageMs,
    remainingCriticalPathMs: remainingChainMs,
    remainingWorkMs,
    isGuaranteed: isEntitled,
  } = standing;
  const isInTime = canMeetObjective(standing);
  const isLost =
    ageMs + remainingChainMs > LATE_LIMIT_FACTOR * computeObjectiveMs(standing);
  const share = isInTime ? 1 : LATE_WORTH_SHARE;
  const density = share * estimateValue(standing) /
    Math.max(remainingWorkMs, 1);
  if (isEntitled) return { tier: RANK_TIER.GUARANTEED, density };
  return { tier: isLost ? RANK_TIER.WORTHLESS : RANK_TIER.ORDINARY, density };
}

/** What the job loses when it becomes late; nothing when it already is. */
export function computeLateLoss(
  standing: JobRankInput,
  delayMs: number,
): number {
  const isLostByDelay = canMeetObjective(standing) &&
    !canMeetObjective(standing, delayMs);
  return isLostByDelay ? (1 - LATE_WORTH_SHARE) * estimateValue(standing) : 0;
}

/** For sorting: negative when `left` goes first. */
export function compareRanks(left: Rank, right: Rank): number {
  return left.tier - right.tier || right.density - left.density;
}
