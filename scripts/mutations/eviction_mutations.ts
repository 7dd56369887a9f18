/** Mutations of the rules by which an eviction must pay. */
import type { Mutation } from "./types.ts";

const POLICY = "packages/policy/cell";
const COST = `${POLICY}/evictions/eviction_cost.ts`;
const COST_TEST = `${POLICY}/evictions/eviction_cost_test.ts`;
const ROUND_TEST = `${POLICY}/evictions/justified_eviction_test.ts`;
const FORECAST = `${POLICY}/forecast/remaining_time.ts`;
const FORECAST_TEST = `${POLICY}/forecast/remaining_time_test.ts`;
const ESTIMATES = "packages/node/cell/evictions/eviction_estimates.ts";
const CELL_TEST = "packages/node/cell/evictions/evictions_test.ts";
const EVICTIONS_PAY = "evictions pay";

export const EVICTION_MUTATIONS: readonly Mutation[] = [
  {
    name: "evict although the plan costs more than it gains",
    promise: EVICTIONS_PAY,
    file: `${POLICY}/evictions/justified_eviction.ts`,
    find: `plan.cost < evictionGain`,
    replace: `plan.cost < evictionGain + 1`,
    spec: ROUND_TEST,
    title: "cost less than they gain",
  },
  {
    name: "evict a unit that was evicted lately",
    promise: EVICTIONS_PAY,
    file: `${POLICY}/eviction.ts`,
    find: `(mayEvictGuarded || unit.isGuarded !== true)`,
    replace: `true`,
    spec: ROUND_TEST,
    title: "never take a unit that was evicted lately",
  },
  {
    name: "forget when a unit was evicted",
    promise: EVICTIONS_PAY,
    file: "packages/node/cell/cell_scheduler.ts",
    find: `unit.lastEvictedMs = nowMs;`,
    replace: ``,
    spec: CELL_TEST,
    title: "does not hit the same unit again",
  },
  {
    name: "evict a unit that is about to end",
    promise: EVICTIONS_PAY,
    file: `${POLICY}/eviction.ts`,
    find: `unit.isEvictable && !isEnding(unit) &&`,
    replace: `unit.isEvictable &&`,
    spec: ROUND_TEST,
    title: "never take a unit that ends before",
  },
  {
    name: "expect a run that has outlasted its estimate to end soon",
    promise: "urgent work starts in time",
    file: ESTIMATES,
    find: `!isProgressReported(progress) && elapsedMs >= estimateMs`,
    replace: `false`,
    spec: CELL_TEST,
    title: "waits for no run that has outlasted it",
  },
  {
    name: "keep victims that are not needed",
    promise: EVICTIONS_PAY,
    file: `${POLICY}/eviction.ts`,
    find: `return { capacity, victims: [unit], cost: unit.evictionCost };`,
    replace: ``,
    spec: ROUND_TEST,
    title: "take one unit that frees enough",
  },
  {
    name: "count all work of a task that writes checkpoints as lost",
    promise: EVICTIONS_PAY,
    file: COST,
    find: `return Math.min(elapsedMs, lostMs);`,
    replace: `return elapsedMs + 0 * lostMs;`,
    spec: COST_TEST,
    title: "counts the work since the last checkpoint",
  },
  {
    name:
      "price the lateness of a unit that does not end last as that of its job",
    promise: EVICTIONS_PAY,
    file: COST,
    find: `Math.max(0, unitEndMs - outlook.remainingMs)`,
    replace: `unitEndMs`,
    spec: COST_TEST,
    title: "counts no lateness for a unit that ends long before",
  },
  {
    name: "price an eviction without the earlier ones",
    promise: EVICTIONS_PAY,
    file: COST,
    find: `(1 + input.earlierEvictions)`,
    replace: `1`,
    spec: COST_TEST,
    title: "grows with each earlier eviction",
  },
  {
    name: "trust a percentage that may be a second old from the start",
    promise: EVICTIONS_PAY,
    file: FORECAST,
    find: `const MINIMUM_PROGRESS_PERCENT = 3;`,
    replace: `const MINIMUM_PROGRESS_PERCENT = 1;`,
    spec: FORECAST_TEST,
    title: "follows the estimate",
  },
  {
    name: "count progress from before the run",
    promise: EVICTIONS_PAY,
    file: FORECAST,
    find: `const donePercent = percent - (progress.startPercent ?? 0);`,
    replace: `const donePercent = percent;`,
    spec: FORECAST_TEST,
    title: "counts the progress of this run only",
  },
  {
    name: "wait for ends until an eviction is too late for a guarantee",
    promise: EVICTIONS_PAY,
    file: ESTIMATES,
    find: `return latestMs <= this.#reclaimMs ?`,
    replace: `return latestMs <= 2 * this.#reclaimMs ?`,
    spec: "packages/node/cell/evictions/eviction_estimates_test.ts",
    title: "only while a later eviction still meets the bound",
  },
];
