/**
 * Order of waiting work: urgent work that a guarantee covers, then what can still meet its
 * objective, then what is late, each by worth per unit of remaining work (weighted shortest
 * processing time; Smith, 1956).
 */
import type { CellJobSpec, CellResources, StepSpec } from "./types.ts";

/** Relative worth of a job by its queue's priority; the ratios of the users' sheets. */
const WORTH_BY_PRIORITY = [4, 3, 1] as const;
const LOWEST_WORTH = 1;
/** Share of a job's worth that does not grow with its work (the users' rules). */
const BASE_WORTH_SHARE = 0.3;
/** A job counts for at most this many times its queue's usual worth (the users' rules). */
const MAXIMUM_WORTH_FACTOR = 4;
/** Past this many times its objective a job earns nothing (the users' rules). */
const LATE_LIMIT_FACTOR = 3;
/** Share of the worth that a late job earns, about that of the users' sheets. */
const LATE_WORTH_SHARE = 0.3;

/** Work of one task in accelerator-milliseconds, by its scarcest resource. */
export function measureShare(
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
export function measureWork(
  steps: readonly StepSpec[],
  capacity: CellResources,
): number {
  return steps.reduce(
    (sum, step) =>
      sum + step.count * step.estimateMs * measureShare(step.need, capacity),
    0,
  );
}

/** Longest chain of estimates through the steps. */
export function measureChain(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const startMs = Math.max(0, ...step.after.map((other) => ends[other] ?? 0));
    ends.push(startMs + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** What the order of one job depends on. */
export interface JobStanding {
  readonly spec: CellJobSpec;
  readonly chainMs: number;
  /** All of its work and what is left of it, in worker-milliseconds. */
  readonly workMs: number;
  readonly remainingWorkMs: number;
  /** Mean work of the jobs of its queue. */
  readonly usualWorkMs: number;
  /** Since it was accepted, or since its occurrence was due. */
  readonly ageMs: number;
  readonly isEntitled: boolean;
}

/** Lower tiers go first; within a tier the higher density. */
export interface Rank {
  readonly tier: number;
  readonly density: number;
}

export const TIER = { ENTITLED: 0, IN_TIME: 1, LATE: 2, LOST: 3 } as const;

/** Worth of a job that meets its objective. */
export function estimateWorth(standing: JobStanding): number {
  const { spec, workMs, usualWorkMs } = standing;
  const base = WORTH_BY_PRIORITY[spec.priority] ?? LOWEST_WORTH;
  const size = usualWorkMs > 0 ? workMs / usualWorkMs : 1;
  const factor = BASE_WORTH_SHARE + (1 - BASE_WORTH_SHARE) * size;
  return base * Math.min(MAXIMUM_WORTH_FACTOR, factor);
}

/** Rank of a job among those that wait. */
export function rankJob(standing: JobStanding): Rank {
  const { spec, chainMs, ageMs, remainingWorkMs, isEntitled } = standing;
  const objectiveMs = spec.stretch * chainMs + spec.allowanceMs;
  const worth = estimateWorth(standing);
  const effort = Math.max(remainingWorkMs, 1);
  if (isEntitled) return { tier: TIER.ENTITLED, density: worth / effort };
  if (ageMs + chainMs <= objectiveMs) {
    return { tier: TIER.IN_TIME, density: worth / effort };
  }
  const lateWorth = LATE_WORTH_SHARE * worth;
  const isLost = ageMs + chainMs > LATE_LIMIT_FACTOR * objectiveMs;
  return {
    tier: isLost ? TIER.LOST : TIER.LATE,
    density: lateWorth / effort,
  };
}

/** For sorting: negative when `left` goes first. */
export function compareRanks(left: Rank, right: Rank): number {
  return left.tier - right.tier || right.density - left.density;
}
