/**
 * `npm run bench:placement -- --seed S --deployment D --size today|target --json`: replays one
 * seeded list of arrivals through coltsfootpond's policy and the baselines. With `--json`, the last
 * line printed is JSON.
 */
import process from "node:process";
import v8 from "node:v8";
import vm from "node:vm";
import yargs from "yargs";
import { ARRIVAL_WINDOW_MS, createArrivals } from "./arrivals.ts";
import { BASELINE, BaselinePolicy } from "./baseline_policy.ts";
import { createDeployment, DEPLOYMENT, SIZE } from "./deployments.ts";
import { EnginePolicy } from "./engine_policy.ts";
import { createLoadedEngine } from "./loaded_engine.ts";
import type { PolicyReport } from "./replay_metrics.ts";
import { Replay } from "./replay.ts";

/** Upper bound of the 99th percentile of decision times. */
const DECISION_BOUND_MS = 32;

const options = yargs(process.argv.slice(2))
  .option("seed", { type: "number", default: 1 })
  .option("deployment", {
    choices: Object.values(DEPLOYMENT),
    default: DEPLOYMENT.LECHFELD,
  })
  .option("size", { choices: Object.values(SIZE), default: SIZE.TODAY })
  .option("json", { type: "boolean", default: false })
  .strict()
  .parseSync();

/** Running tasks and workers of the engine whose heap is measured. */
const MEMORY_TASKS = 40_000;
const MEMORY_WORKERS = 3_900;

/**
 * Measures the heap bytes per running task of one engine that runs as many tasks as there are at
 * the target size. The first measurement is discarded as warm-up.
 */
async function measureBytesPerTask(): Promise<number> {
  v8.setFlagsFromString("--expose_gc");
  const collectGarbage: () => void = vm.runInNewContext("gc");
  const settleHeap = async (): Promise<void> => {
    collectGarbage();
    await new Promise((resolve) => setImmediate(resolve));
    collectGarbage();
  };
  const measureHeapGrowth = async (runningTasks: number): Promise<number> => {
    await settleHeap();
    const before = process.memoryUsage().heapUsed;
    const engine = createLoadedEngine({
      workers: MEMORY_WORKERS,
      runningTasks,
      queuedJobs: 0,
      organisations: 72,
    });
    engine.decide(0);
    await settleHeap();
    const after = process.memoryUsage().heapUsed;
    engine.summarise();
    return after - before;
  };
  await measureHeapGrowth(MEMORY_TASKS);
  const loaded = await measureHeapGrowth(MEMORY_TASKS);
  return Math.round((loaded - await measureHeapGrowth(0)) / MEMORY_TASKS);
}

/** Whether coltsfootpond's policy keeps each bound; printed under these names. */
interface Bounds {
  readonly noViolations: boolean;
  readonly largeP99AtMostHalfOfFirstFit: boolean;
  readonly fragmentationAtMostHalfOfFirstFit: boolean;
  readonly fragmentationUnderBestFit: boolean;
  readonly decisionP99Within: boolean;
}

function checkBounds(
  own: PolicyReport,
  firstFit: PolicyReport,
  bestFit: PolicyReport,
): Bounds {
  return {
    noViolations: own.violationCount === 0,
    largeP99AtMostHalfOfFirstFit: own.largeP99S <= firstFit.largeP99S / 2,
    fragmentationAtMostHalfOfFirstFit:
      own.fragmentation <= firstFit.fragmentation / 2,
    fragmentationUnderBestFit: own.fragmentation < bestFit.fragmentation,
    decisionP99Within: own.decisionP99Ms <= DECISION_BOUND_MS,
  };
}

function formatReport(report: PolicyReport): string {
  return [
    report.policy.padEnd(14),
    `small p50/p99 ${report.smallP50S}/${report.smallP99S} s`,
    `large p50/p99 ${report.largeP50S}/${report.largeP99S} s`,
    `fragmentation ${report.fragmentation} (momentary ${report.fragmentationMomentary})`,
    `utilisation ${report.utilisation}`,
    `guarantee waits over 3.2 s ${report.guaranteeWaitsOverBound}`,
    `starved ${report.starvedGangs}`,
    `evictions ${report.evictions} losing ${report.lostAcceleratorHours} accelerator hours`,
    `decision p99 ${report.decisionP99Ms} ms`,
  ].join(", ");
}

const { seed, deployment, size, json } = options;
const declarations = createDeployment(deployment, size);
const arrivals = createArrivals(seed, declarations, deployment, size);
const policies = [
  EnginePolicy.create(declarations),
  ...Object.values(BASELINE).map((name) =>
    BaselinePolicy.create(name, declarations)
  ),
];
const reports = policies.map((policy) => {
  const windowMs = ARRIVAL_WINDOW_MS[size];
  const report = Replay.run({ declarations, arrivals, windowMs, policy });
  console.log(formatReport(report));
  return report;
});
// The reports are in the order of `policies`, and the baselines in the order of `BASELINE`.
const [own, firstFit, bestFit] = reports;
const bounds = checkBounds(own!, firstFit!, bestFit!);
console.log(JSON.stringify(bounds));
if (json) {
  console.log(JSON.stringify({
    seed,
    deployment,
    size,
    arrivals: arrivals.length,
    bytesPerTask: await measureBytesPerTask(),
    policies: reports,
    bounds,
  }));
}
