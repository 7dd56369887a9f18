/** Scores a replayed day as the users count: whole day, worst windows, kinds and organisations. */
import {
  BASE_VALUE_SHARE,
  computeCriticalPathMs,
  LATE_LIMIT_FACTOR,
  MAXIMUM_VALUE_FACTOR,
} from "@coltsfootpond/policy";
import { WASTE_PRICE } from "../../packages/node/cell/plan_input.ts";
import type { Arrival } from "./arrivals.ts";

export interface JobResult {
  readonly arrival: Arrival;
  readonly state: "completed" | "failed" | "cancelled" | "open";
  readonly tookMs: number;
}

/** Shares of the worth owed, 0 to 1. */
export interface Score {
  readonly whole: number;
  readonly worstWindows: number;
  readonly worstKind: number;
  readonly worstOrganisation: number;
  /** The parts by weight, less the price of work thrown away. */
  readonly worth: number;
}

/** Windows of the users' reports. */
const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;
/** Means of the two sites' weights. */
const WEIGHT = { WHOLE: 0.68, WINDOWS: 0.2, ORGANISATION: 0.2, KIND: 0.12 };

function measureWork({ spec, runsMs }: Arrival): number {
  return runsMs.reduce((sum, runs, step) => {
    const { need, isGang, count } = spec.steps[step]!;
    const totalMs = runs.reduce((total, runMs) => total + runMs, 0);
    return sum + need.cpuMilli * totalMs * (isGang ? count : 1);
  }, 0);
}

/** The longest chain of true runs. */
function measureTrueChain({ spec, runsMs }: Arrival): number {
  return computeCriticalPathMs(
    spec.steps.map((step, number) => ({
      ...step,
      estimateMs: Math.max(...runsMs[number] ?? [0]),
    })),
  );
}

function getUsualWork(results: readonly JobResult[]): Map<string, number> {
  const sums = new Map<string, readonly [number, number]>();
  for (const { arrival } of results) {
    const [work, jobs] = sums.get(arrival.kind.name) ?? [0, 0];
    sums.set(arrival.kind.name, [work + measureWork(arrival), jobs + 1]);
  }
  return new Map([...sums].map(([name, [work, jobs]]) => [name, work / jobs]));
}

interface ValueTotals {
  readonly owed: number;
  readonly earned: number;
}

function computeJobValue(result: JobResult, usualWork: number): ValueTotals {
  const { arrival, state, tookMs } = result;
  const { kind } = arrival;
  if (state === "cancelled") return { owed: 0, earned: 0 };
  const factor = Math.min(
    MAXIMUM_VALUE_FACTOR,
    BASE_VALUE_SHARE +
      (1 - BASE_VALUE_SHARE) * measureWork(arrival) / usualWork,
  );
  const owed = kind.worth * factor;
  const isRight = state === (arrival.isHopeless ? "failed" : "completed");
  if (!isRight) return { owed, earned: 0 };
  const objectiveMs = kind.stretch * measureTrueChain(arrival) +
    kind.allowanceMs;
  if (tookMs <= objectiveMs) return { owed, earned: owed };
  const isLate = tookMs <= LATE_LIMIT_FACTOR * objectiveMs;
  return { owed, earned: isLate ? kind.lateWorth * factor : 0 };
}

function getShares(
  results: readonly JobResult[],
  accounts: readonly ValueTotals[],
  getGroup: (result: JobResult) => string | number,
): readonly number[] {
  const groups = new Map<string | number, ValueTotals>();
  for (const [index, result] of results.entries()) {
    const group = getGroup(result);
    const sum = groups.get(group) ?? { owed: 0, earned: 0 };
    const account = accounts[index]!;
    groups.set(group, {
      owed: sum.owed + account.owed,
      earned: sum.earned + account.earned,
    });
  }
  return [...groups.values()].filter(({ owed }) => owed > 0)
    .map(({ owed, earned }) => earned / owed)
    .sort((one, other) => one - other);
}

export function scoreDay(
  results: readonly JobResult[],
  lostCoreSeconds: number,
): Score {
  const usualWork = getUsualWork(results);
  const accounts = results.map((result) =>
    computeJobValue(result, usualWork.get(result.arrival.kind.name) ?? 1)
  );
  const by = (getGroup: (result: JobResult) => string | number) =>
    getShares(results, accounts, getGroup);
  const whole = by(() => "all")[0] ?? 1;
  const windows = by(({ arrival }) => Math.floor(arrival.atMs / WINDOW_MS))
    .slice(0, WORST_WINDOWS);
  const worstWindows = windows.reduce((sum, share) => sum + share, 0) /
    Math.max(1, windows.length);
  const worstKind = by(({ arrival }) => arrival.kind.name)[0] ?? 1;
  const worstOrganisation =
    by(({ arrival }) => arrival.spec.organisation ?? "")[0] ?? 1;
  const owed = accounts.reduce((sum, account) => sum + account.owed, 0);
  const parts = WEIGHT.WHOLE * whole + WEIGHT.WINDOWS * worstWindows +
    WEIGHT.KIND * worstKind + WEIGHT.ORGANISATION * worstOrganisation;
  const weights = Object.values(WEIGHT).reduce((sum, part) => sum + part, 0);
  const worth = parts / weights - WASTE_PRICE * lostCoreSeconds / owed;
  return { whole, worstWindows, worstKind, worstOrganisation, worth };
}

/** What a policy that starts every job at once on a sound cell would earn. */
export function scoreUnbounded(arrivals: readonly Arrival[]): Score {
  const results = arrivals.map((arrival): JobResult => {
    if (arrival.cancelAfterMs !== undefined) {
      return { arrival, state: "cancelled", tookMs: arrival.cancelAfterMs };
    }
    const state = arrival.isHopeless ? "failed" : "completed";
    const repeats = 1 +
      (arrival.firstRunFailsAtShare < 1 ? arrival.firstRunFailsAtShare : 0);
    return { arrival, state, tookMs: measureTrueChain(arrival) * repeats };
  });
  return scoreDay(results, 0);
}
