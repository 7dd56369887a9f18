/**
 * Scores a replayed day by the platform's rules: the share of value earned over the whole day, in the
 * worst windows, for the worst kind of job and for the worst organisation.
 */
import {
  BASE_VALUE_SHARE,
  type CellJobId,
  computeCriticalPathMs,
  LATE_LIMIT_FACTOR,
  MAXIMUM_VALUE_FACTOR,
} from "@coltsfootpond/policy";
import { WASTE_PRICE } from "../../packages/node/cell/plan_input.ts";
import type { Arrival } from "./arrivals.ts";

/** How a job of the replay ended; `open` if it had not ended when the replay stopped. */
export interface JobResult {
  readonly arrival: Arrival;
  readonly state: "completed" | "failed" | "cancelled" | "open";
  /** From arrival to the end; infinite if open. */
  readonly tookMs: number;
}

/** Shares of the attainable value that were earned, 0 to 1. */
export interface Score {
  /** Over the whole day. */
  readonly whole: number;
  /** Mean of the worst windows of arrival time. */
  readonly worstWindows: number;
  readonly worstKind: number;
  readonly worstOrganisation: number;
  /** Weighted mean of the other shares, less the price of lost work; may be negative. */
  readonly worth: number;
}

/** Length of the windows in the platform's reports. */
const SCORE_WINDOW_MS = 2_000;
const WORST_WINDOW_COUNT = 2;
/** Mean of the weights that the two sites give the shares. */
const WEIGHT = { WHOLE: 0.68, WINDOWS: 0.2, ORGANISATION: 0.2, KIND: 0.12 };

/** Milliprocessor-milliseconds of a job's actual runs. */
function computeWork({ spec, runsMs }: Arrival): number {
  return runsMs.reduce((sum, runs, step) => {
    const { need, isGang, count } = spec.steps[step]!;
    const totalMs = runs.reduce((total, runMs) => total + runMs, 0);
    return sum + need.cpuMilli * totalMs * (isGang ? count : 1);
  }, 0);
}

/** Critical path of the job by actual run times. */
function computeActualCriticalPathMs({ spec, runsMs }: Arrival): number {
  return computeCriticalPathMs(
    spec.steps.map((step, number) => ({
      ...step,
      estimateMs: Math.max(...runsMs[number] ?? [0]),
    })),
  );
}

function computeMeanWorkByKind(
  results: readonly JobResult[],
): Map<string, number> {
  const sums = new Map<string, readonly [number, number]>();
  for (const { arrival } of results) {
    const [work, jobs] = sums.get(arrival.kind.name) ?? [0, 0];
    sums.set(arrival.kind.name, [work + computeWork(arrival), jobs + 1]);
  }
  return new Map([...sums].map(([name, [work, jobs]]) => [name, work / jobs]));
}

/** Attainable and earned value of a job or of a group of jobs. */
interface ValueTotals {
  readonly attainable: number;
  readonly earned: number;
}

function computeJobValue(result: JobResult, meanWork: number): ValueTotals {
  const { arrival, state, tookMs } = result;
  const { kind } = arrival;
  if (state === "cancelled") return { attainable: 0, earned: 0 };
  const factor = Math.min(
    MAXIMUM_VALUE_FACTOR,
    BASE_VALUE_SHARE +
      (1 - BASE_VALUE_SHARE) * computeWork(arrival) / meanWork,
  );
  const attainable = kind.value * factor;
  const endedAsExpected =
    state === (arrival.alwaysFails ? "failed" : "completed");
  if (!endedAsExpected) return { attainable, earned: 0 };
  const objectiveMs = kind.stretch * computeActualCriticalPathMs(arrival) +
    kind.allowanceMs;
  if (tookMs <= objectiveMs) return { attainable, earned: attainable };
  const isLate = tookMs <= LATE_LIMIT_FACTOR * objectiveMs;
  return { attainable, earned: isLate ? kind.lateValue * factor : 0 };
}

/** Share of the attainable value that each group of jobs earned, ascending. */
function computeGroupShares(
  results: readonly JobResult[],
  jobValues: readonly ValueTotals[],
  getGroup: (result: JobResult) => string | number,
): readonly number[] {
  const groups = new Map<string | number, ValueTotals>();
  for (const [index, result] of results.entries()) {
    const group = getGroup(result);
    const sum = groups.get(group) ?? { attainable: 0, earned: 0 };
    const jobValue = jobValues[index]!;
    groups.set(group, {
      attainable: sum.attainable + jobValue.attainable,
      earned: sum.earned + jobValue.earned,
    });
  }
  return [...groups.values()].filter(({ attainable }) => attainable > 0)
    .map(({ attainable, earned }) => earned / attainable)
    .sort((one, other) => one - other);
}

/** Jobs that ended as expected within their objective. */
export function listOnTime(
  results: readonly JobResult[],
): readonly CellJobId[] {
  return results.filter((result) => {
    const { attainable, earned } = computeJobValue(result, 1);
    return attainable > 0 && earned === attainable;
  }).map(({ arrival }) => arrival.spec.jobId);
}

/** Scores all jobs of a day; `lostCoreSeconds` is the work lost to evictions and failures. */
export function scoreDay(
  results: readonly JobResult[],
  lostCoreSeconds: number,
): Score {
  const meanWorkByKind = computeMeanWorkByKind(results);
  const jobValues = results.map((result) =>
    computeJobValue(result, meanWorkByKind.get(result.arrival.kind.name) ?? 1)
  );
  const computeShares = (getGroup: (result: JobResult) => string | number) =>
    computeGroupShares(results, jobValues, getGroup);
  const whole = computeShares(() => "all")[0] ?? 1;
  const windows = computeShares(({ arrival }) =>
    Math.floor(arrival.atMs / SCORE_WINDOW_MS)
  )
    .slice(0, WORST_WINDOW_COUNT);
  const worstWindows = windows.reduce((sum, share) => sum + share, 0) /
    Math.max(1, windows.length);
  const worstKind = computeShares(({ arrival }) => arrival.kind.name)[0] ?? 1;
  const worstOrganisation =
    computeShares(({ arrival }) => arrival.spec.organisation ?? "")[0] ?? 1;
  const attainable = jobValues.reduce(
    (sum, jobValue) => sum + jobValue.attainable,
    0,
  );
  const parts = WEIGHT.WHOLE * whole + WEIGHT.WINDOWS * worstWindows +
    WEIGHT.KIND * worstKind + WEIGHT.ORGANISATION * worstOrganisation;
  const weightTotal = Object.values(WEIGHT).reduce(
    (sum, part) => sum + part,
    0,
  );
  const worth = parts / weightTotal -
    WASTE_PRICE * lostCoreSeconds / attainable;
  return { whole, worstWindows, worstKind, worstOrganisation, worth };
}

/**
 * Upper bound: scores a day on which every job starts on arrival and runs at full speed; a failed
 * first run is repeated at once.
 */
export function scoreUnbounded(arrivals: readonly Arrival[]): Score {
  const results = arrivals.map((arrival): JobResult => {
    if (arrival.cancelAfterMs !== undefined) {
      return { arrival, state: "cancelled", tookMs: arrival.cancelAfterMs };
    }
    const state = arrival.alwaysFails ? "failed" : "completed";
    const runTimeFactor = 1 +
      (arrival.firstRunFailsAtShare < 1 ? arrival.firstRunFailsAtShare : 0);
    return {
      arrival,
      state,
      tookMs: computeActualCriticalPathMs(arrival) * runTimeFactor,
    };
  });
  return scoreDay(results, 0);
}
