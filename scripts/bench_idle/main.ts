/**
 * `npm run bench:idle -- --entries N --seconds S --json`: what idle entries of today's size spend,
 * by their own meters, over real processes. `--write` keeps the run in `docs/capacity/slopes.json`.
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

const SERVICES = ["table", "objects", "vms", "fleet"];
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
if (options.write) keepRun(run);
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
    const before = await deployment.readMeters();
    await sleep(seconds * MS_PER_SECOND);
    const after = await deployment.readMeters();
    return {
      entries,
      seconds,
      command:
        `npm run bench:idle -- --entries ${entries} --seconds ${seconds}`,
      perEntry: after.map((text, index) =>
        compare(
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

function compare(entry: string, before: Samples, after: Samples): IdleEntry {
  const grow = (prefix: string, labels: readonly string[] = []) =>
    sumSamples(after, prefix, labels) - sumSamples(before, prefix, labels);
  const elapsedMs = grow("coltsfootpond_uptime_ms");
  const perSecond = (value: number) => value * MS_PER_SECOND / elapsedMs;
  return {
    entry,
    meshBytesPerSecond: perSecond(
      grow("coltsfootpond_mesh_bytes_total", ['kind="all"']),
    ),
    platformBytesPerSecond: SERVICES.map((service) => ({
      service,
      bytesPerSecond: perSecond(
        grow("coltsfootpond_platform_bytes_total", [`service="${service}"`]),
      ),
      callsPerSecond: perSecond(
        grow("coltsfootpond_platform_messages_total", [
          `service="${service}"`,
          'direction="sent"',
        ]),
      ),
    })),
    processorShare: grow("coltsfootpond_processor_ms_total") / elapsedMs,
    residentBytes: sumSamples(after, "coltsfootpond_resident_bytes"),
  };
}

/** One run for each number of entries; a new one takes the place of the old. */
function keepRun(kept: IdleRun): void {
  const report = readReport();
  if (report === undefined) throw new Error("run bench:capacity first");
  const others = report.idleRuns.filter((one) => one.entries !== kept.entries);
  const idleRuns = [...others, kept].sort((left, right) =>
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
