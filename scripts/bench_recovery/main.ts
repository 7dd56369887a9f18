/**
 * Measures recovery times over real processes on the loopback interface, under a steady load of
 * short jobs: `npm run bench:recovery -- --measure kill --rounds 10`.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Cluster } from "../demo/cluster.ts";
import { readExample } from "../demo/example.ts";
import { ProcessGroup } from "../demo/process_group.ts";
import { applyExample } from "../demo/demo_scenario.ts";
import {
  measureApply,
  measureDomainOut,
  type Measurement,
  type MeasurementOptions,
  measureOwnerStop,
} from "./measurements.ts";
import { SteadyLoad } from "./steady_load.ts";

const MEASUREMENT_NAMES = ["kill", "handover", "out", "apply"] as const;
type MeasurementName = typeof MEASUREMENT_NAMES[number];
const MAXIMUM_ENTRIES = 9;
const MAXIMUM_ROUNDS = 10;
/** Time under load before the first round. */
const WARM_UP_DELAY_MS = 6_000;

const options = yargs(hideBin(process.argv))
  .scriptName("bench:recovery")
  .option("measure", {
    choices: MEASUREMENT_NAMES,
    default: "kill" as MeasurementName,
  })
  .option("entries", { type: "number", default: 3 })
  .option("rounds", { type: "number", default: 10 })
  .check(({ entries, rounds }) =>
    entries >= 3 && entries <= MAXIMUM_ENTRIES && rounds >= 1 &&
    rounds <= MAXIMUM_ROUNDS
  )
  .strict()
  .parseSync();

function measure(
  measurementOptions: MeasurementOptions,
): Promise<readonly Measurement[]> {
  switch (options.measure) {
    case "kill":
      return measureOwnerStop(measurementOptions, "SIGKILL");
    case "handover":
      return measureOwnerStop(measurementOptions, "SIGTERM");
    case "out":
      return measureDomainOut(measurementOptions);
    case "apply":
      return measureApply(measurementOptions);
  }
}

/**
 * Prints every value, then their median and maximum, how many are missing because the awaited task
 * start was not seen, and the load's counts.
 */
function printResults(results: readonly Measurement[], load: SteadyLoad): void {
  for (const { round, subject, ms } of results) {
    console.log(`${round} ${subject}: ${ms?.toFixed(0) ?? "none"} ms`);
  }
  const times = results.map(({ ms }) => ms).filter((ms) => ms !== undefined)
    .sort((left, right) => left - right);
  const missing = results.length - times.length;
  const median = times[Math.floor((times.length - 1) / 2)] ?? NaN;
  const highest = times.at(-1) ?? NaN;
  console.log(
    `${options.measure}, ${options.entries} entries, ${times.length} values ` +
      `and ${missing} without a start: ` +
      `p50 ${median.toFixed(0)} ms, maximum ${highest.toFixed(0)} ms; ` +
      `jobs accepted ${load.accepted}, refused ${load.refused}`,
  );
}

/** Starts the cluster and the load, takes the measurements and prints them. */
async function run(processes: ProcessGroup, directory: string): Promise<void> {
  const example = readExample("lechfeld");
  const seed = 1;
  const cluster = await Cluster.create({ example, processes, directory, seed });
  const domains = example.declarations.failureDomains;
  while (cluster.entries.length < options.entries) {
    const domain = domains[cluster.entries.length % domains.length];
    await cluster.startEntry(domain?.name ?? "", domain?.region ?? "");
  }
  const first = cluster.entries[0];
  if (first === undefined) {
    throw new Error("the cluster has no entry to apply the declarations to");
  }
  await applyExample(example, first, 0);
  await Promise.all(cluster.entries.map((entry) => cluster.waitReady(entry)));
  const { declarations } = example;
  const { balancerPort } = cluster;
  const load = SteadyLoad.create({ declarations, balancerPort });
  load.start();
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_DELAY_MS));
  const logProgress = (line: string) => console.error(line);
  const { rounds } = options;
  const results = await measure({ cluster, example, rounds, logProgress });
  load.stop();
  printResults(results, load);
}

const directory = mkdtempSync(join(tmpdir(), "coltsfootpond-recovery-"));
const processes = ProcessGroup.create(directory);
async function finish(): Promise<void> {
  await processes.stopAll();
  rmSync(directory, { recursive: true, force: true });
}
process.once("SIGINT", () => void finish().then(() => process.exit(1)));
process.once("SIGTERM", () => void finish().then(() => process.exit(1)));
try {
  await run(processes, directory);
} finally {
  await finish();
}
process.exit(0);
