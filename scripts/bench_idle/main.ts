/**
 * `npm run bench:idle -- --entries N --seconds S --json`: measures the traffic, processor time and
 * memory of idle entries in a deployment of today's size, by their own metrics, over real processes.
 * `--write` stores the run in `docs/capacity/slopes.json`.
 */
import { writeFileSync } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { readReport } from "../bench_capacity/report.ts";
import {
  type IdleEntry,
  type IdleRun,
  SLOPES_PATH,
} from "../bench_capacity/types.ts";
import { IdleDeployment } from "./deployment.ts";
import {
  parseSamples,
  type Samples,
  sumSamples,
} from "./prometheus_samples.ts";

/** Values of the label `service` in the metrics of platform traffic. */
const PLATFORM_SERVICES = ["table", "objects", "vms", "fleet"];
const MS_PER_SECOND = 1_000;
const MAXIMUM_ENTRIES = 24;
const MAXIMUM_SECONDS = 120;

const options = yargs(hideBin(process.argv))
  .scriptName("bench:idle")
  .option("entries", { type: "number", default: 3 })
  .option("seconds", { type: "number", default: 20 })
  .option("settle-seconds", { type: "number", default: 60 })
  .option("write", { type: "boolean", default: false })
  .option("json", { type: "boolean", default: false })
  .check(({ entries, seconds }) =>
    entries >= 1 && entries <= MAXIMUM_ENTRIES && seconds >= 1 &&
    seconds <= MAXIMUM_SECONDS
  )
  .strict()
  .parseSync();

const run = await measure();
if (options.write) saveRun(run);
if (options.json) console.log(JSON.stringify(run, undefined, 2));
else run.perEntry.forEach(printEntry);

async function measure(): Promise<IdleRun> {
  const { entries, seconds, settleSeconds } = options;
  const deployment = await IdleDeployment.start(entries);
  const stop = () => void deployment.stop().then(() => process.exit(1));
  process.once("SIGINT", stop);
  process.once("SIGTERM", stop);
  try {
    await sleep(settleSeconds * MS_PER_SECOND);
    const before = await deployment.readMetrics();
    await sleep(seconds * MS_PER_SECOND);
    const after = await deployment.readMetrics();
    return {
      entries,
      seconds,
      command:
        `npm run bench:idle -- --entries ${entries} --seconds ${seconds}`,
      perEntry: after.map((text, index) =>
        computeIdleEntry(
          `entry-${index + 1}`,
          parseSamples(before[index] ?? ""),
          parseSamples(text),
        )
      ),
    };
  } finally {
    await deployment.stop();
  }
}

/** Rates of one entry between two readings of its metrics, by the entry's own uptime. */
function computeIdleEntry(
  entry: string,
  before: Samples,
  after: Samples,
): IdleEntry {
  const computeIncrease = (prefix: string, labels: readonly string[] = []) =>
    sumSamples(after, prefix, labels) - sumSamples(before, prefix, labels);
  const elapsedMs = computeIncrease("coltsfootpond_uptime_ms");
  const perSecond = (value: number) => value * MS_PER_SECOND / elapsedMs;
  return {
    entry,
    meshBytesPerSecond: perSecond(
      computeIncrease("coltsfootpond_mesh_bytes_total", ['kind="all"']),
    ),
    platformBytesPerSecond: PLATFORM_SERVICES.map((service) => ({
      service,
      bytesPerSecond: perSecond(
        computeIncrease("coltsfootpond_platform_bytes_total", [
          `service="${service}"`,
        ]),
      ),
      callsPerSecond: perSecond(
        computeIncrease("coltsfootpond_platform_messages_total", [
          `service="${service}"`,
          'direction="sent"',
        ]),
      ),
    })),
    processorShare: computeIncrease("coltsfootpond_processor_ms_total") /
      elapsedMs,
    residentBytes: sumSamples(after, "coltsfootpond_resident_bytes"),
  };
}

/** Stores the run in the capacity report, in place of an earlier run with the same number of entries. */
function saveRun(newRun: IdleRun): void {
  const report = readReport();
  if (report === undefined) {
    throw new Error(
      "there is no capacity report to add to; run bench:capacity first",
    );
  }
  const others = report.idleRuns.filter((one) =>
    one.entries !== newRun.entries
  );
  const idleRuns = [...others, newRun].sort((left, right) =>
    left.entries - right.entries
  );
  const content = JSON.stringify({ ...report, idleRuns }, undefined, 2);
  writeFileSync(SLOPES_PATH, `${content}\n`);
}

function printEntry(entry: IdleEntry): void {
  const platform = entry.platformBytesPerSecond.map((one) =>
    `${one.service} ${one.bytesPerSecond.toFixed(0)}`
  );
  console.log(
    `${entry.entry}: mesh ${entry.meshBytesPerSecond.toFixed(0)} bytes/s, ` +
      `${platform.join(", ")} bytes/s, ` +
      `${(entry.processorShare * 100).toFixed(2)}% of a core, ` +
      `${(entry.residentBytes / 1_000_000).toFixed(1)} MB`,
  );
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
