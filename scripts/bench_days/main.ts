/**
 * `npm run bench:days -- --deployment NAME --load NAME --seeds N --first-seed S --json`: replays seeded days through
 * coltsfootpond's planner and the baseline policies and prints the mean scores side by side. The row
 * `at_once` is the upper bound. With `--json`, the last line printed is JSON.
 */
import process from "node:process";
import yargs from "yargs";
import { createArrivals, LOAD, type Load } from "./arrivals.ts";
import { type DeploymentName, DEPLOYMENTS } from "./deployments.ts";
import { POLICIES } from "./policies.ts";
import { type DayReport, replayDay } from "./replay.ts";
import { type Score, scoreUnbounded } from "./score.ts";

const options = yargs(process.argv.slice(2))
  .option("load", { choices: [...Object.values(LOAD), "all"], default: "all" })
  .option("deployment", {
    choices: Object.keys(DEPLOYMENTS),
    default: DEPLOYMENTS.small.name,
  })
  .option("seeds", { type: "number", default: 10 })
  .option("first-seed", { type: "number", default: 1 })
  .option("only", { type: "string", describe: "one policy by name" })
  .option("json", { type: "boolean", default: false })
  .strict()
  .parseSync();

/** Score of one day; the upper bound has no replay and so no costs. */
type Row = Score & Partial<DayReport>;

function average(rows: readonly Row[], key: keyof Row): number {
  const sum = rows.reduce((total, row) => total + Number(row[key] ?? 0), 0);
  return Math.round(sum / rows.length * 1_000) / 1_000;
}

/** The printed columns. */
const KEYS = [
  "worth",
  "whole",
  "worstWindows",
  "worstKind",
  "worstOrganisation",
  "evictions",
  "refusedJobs",
  "lostCoreSeconds",
  "decisionP99Ms",
] as const;

/** Prints and returns the means over the seeds for one load and policy. */
function summarise(load: Load, policy: string, rows: readonly Row[]) {
  const means = Object.fromEntries(
    KEYS.map((key) => [key, average(rows, key)]),
  );
  const text = KEYS.map((key) => `${key} ${means[key]}`).join(", ");
  console.log(`${load.padEnd(13)} ${policy.padEnd(19)} ${text}`);
  return { load, policy, ...means };
}

const deployment = DEPLOYMENTS[options.deployment as DeploymentName];
const loads = options.load === "all"
  ? Object.values(LOAD)
  : [options.load as Load];
const seeds = Array.from(
  { length: options.seeds },
  (_, index) => options["first-seed"] + index,
);
const policies = POLICIES.filter(({ name }) =>
  options.only === undefined || name === options.only
);
const summary = loads.flatMap((load) => [
  ...policies.map((policy) =>
    summarise(
      load,
      policy.name,
      seeds.map((seed) => replayDay(policy, load, seed, deployment)),
    )
  ),
  summarise(
    load,
    "at_once",
    seeds.map((seed) => scoreUnbounded(createArrivals(load, seed, deployment))),
  ),
]);
if (options.json) console.log(JSON.stringify({ seeds, summary }));
