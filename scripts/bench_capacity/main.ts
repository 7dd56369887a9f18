/**
 * `npm run bench:capacity -- --json`: measures on one machine, at small sizes, the memory and time that
 * each additional worker, job, organisation or message costs an entry. Writes
 * `docs/capacity/slopes.json`, from which the capacity page is computed.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { cpus, totalmem } from "node:os";
import { dirname } from "node:path";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { measureEngineSlopes } from "./engine_slopes.ts";
import { measureMemorySlopes } from "./memory_slopes.ts";
import { measureMessageSizes } from "./message_sizes.ts";
import { measureProcessorSlopes } from "./processor_slopes.ts";
import { readReport } from "./report.ts";
import { type CapacityReport, type Machine, SLOPES_PATH } from "./types.ts";

const BYTES_PER_GIB = 1_073_741_824;
const MS_PER_SECOND = 1_000;
const COMMAND = "npm run bench:capacity -- --json";

const options = yargs(hideBin(process.argv))
  .scriptName("bench:capacity")
  .option("json", {
    type: "boolean",
    default: false,
    describe: "print the whole report as JSON",
  })
  .option("write", {
    type: "boolean",
    default: true,
    describe: `write ${SLOPES_PATH}`,
  })
  .option("only-messages", {
    type: "boolean",
    default: false,
    describe: "measure the sizes of messages anew and keep the slopes",
  })
  .strict()
  .parseSync();

const report = options.onlyMessages ? measureMessages() : await measure();
if (options.write) {
  mkdirSync(dirname(SLOPES_PATH), { recursive: true });
  writeFileSync(SLOPES_PATH, `${JSON.stringify(report, undefined, 2)}\n`);
}
if (options.json) console.log(JSON.stringify(report, undefined, 2));
else printSlopes(report);

async function measure(): Promise<CapacityReport> {
  const startedMs = performance.now();
  const slopes = [
    ...measureMemorySlopes(),
    ...await measureEngineSlopes(),
    ...await measureProcessorSlopes(),
  ];
  return {
    date: new Date().toISOString(),
    command: COMMAND,
    elapsedSeconds: Math.round((performance.now() - startedMs) / MS_PER_SECOND),
    machine: describeMachine(),
    slopes,
    messages: measureMessageSizes(),
    messagesDate: new Date().toISOString(),
    idleRuns: readReport()?.idleRuns ?? [],
  };
}

function measureMessages(): CapacityReport {
  const lastReport = readReport();
  if (lastReport === undefined) {
    throw new Error(
      "docs/capacity/slopes.json is missing; run without --only-messages first",
    );
  }
  const messagesDate = new Date().toISOString();
  return { ...lastReport, messages: measureMessageSizes(), messagesDate };
}

function describeMachine(): Machine {
  return {
    processor: cpus()[0]?.model ?? "unknown",
    cores: cpus().length,
    memoryGib: Math.round(totalmem() / BYTES_PER_GIB),
    nodeVersion: process.version,
  };
}

function printSlopes(content: CapacityReport): void {
  for (const slope of content.slopes) {
    const { name, unit, per, residualShare } = slope;
    const residual = (residualShare * 100).toFixed(1);
    console.log(
      `${name}: ${slope.slope.toFixed(2)} ${unit} per ${per}, ` +
        `intercept ${slope.intercept.toFixed(0)}, residual ${residual}%`,
    );
  }
  for (const message of content.messages) {
    console.log(`${message.name}: ${message.bytes} bytes`);
  }
}
