/**
 * The demo: starts the platform stand-in, runners and entries as processes on loopback, sends a
 * seeded mix of calls and gang jobs while it injects faults, and then checks the promises that
 * `promises.ts` lists. Exit codes: 0 all promises kept, 1 a promise was broken or the demo failed,
 * 130 interrupted.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Cluster } from "./cluster.ts";
import { readExample } from "./example.ts";
import { type DemoOptions, parseOptions } from "./options.ts";
import { ProcessGroup } from "./process_group.ts";
import { findBrokenPromises } from "./promises.ts";
import { createReport, type DemoReport, formatReport } from "./report.ts";
import {
  applyExample,
  DemoScenario,
  listEntriesWithoutVersion,
} from "./demo_scenario.ts";

const EXIT_CODE = { KEPT: 0, BROKEN: 1, INTERRUPTED: 130 } as const;
const MS_PER_SECOND = 1_000;
/** Time limit of the demo beyond the duration of its load: start, drain and stop. */
const OVERHEAD_MS = 90_000;

async function runDemo(
  options: DemoOptions,
  processes: ProcessGroup,
  directory: string,
): Promise<DemoReport> {
  const logProgress = (line: string) => process.stderr.write(`${line}\n`);
  const example = readExample(options.deployment);
  const { seed } = options;
  const cluster = await Cluster.create({ example, processes, directory, seed });
  const first = cluster.entries[0];
  if (first === undefined) {
    throw new Error("the example declares no failure domain, so no entry runs");
  }
  const version = await applyExample(example, first, 0);
  const entriesWithoutVersion = await listEntriesWithoutVersion(
    cluster.entries,
    version,
  );
  if (entriesWithoutVersion.length > 0) {
    throw new Error(
      `the first configuration is not in force on ${entriesWithoutVersion}`,
    );
  }
  await Promise.all(cluster.entries.map((entry) => cluster.waitReady(entry)));
  logProgress(`${processes.running} processes run ${options.deployment}`);
  const evidence = await DemoScenario.create({
    example,
    cluster,
    seed,
    durationMs: options.seconds * MS_PER_SECOND,
    logProgress,
  }).run();
  return createReport({
    declarations: example.declarations,
    records: evidence.records,
    ledger: evidence.ledger,
    domainOut: evidence.domainOut,
    connectionsLost: evidence.lost.length,
    open: evidence.open,
    broken: findBrokenPromises(evidence),
  });
}

async function main(): Promise<number> {
  const options = parseOptions();
  const directory = mkdtempSync(join(tmpdir(), "coltsfootpond-demo-"));
  const processes = ProcessGroup.create(directory);
  const finish = async (): Promise<void> => {
    await processes.stopAll();
    if (!options.keep) rmSync(directory, { recursive: true, force: true });
  };
  let earlyExitCode: number | undefined;
  const exitEarly = (reason: string, exitCode: number): void => {
    earlyExitCode ??= exitCode;
    process.stderr.write(`${reason}\n`);
    void finish().then(() => process.exit(exitCode));
  };
  process.once("SIGINT", () => exitEarly("interrupted", EXIT_CODE.INTERRUPTED));
  process.once(
    "SIGTERM",
    () => exitEarly("interrupted", EXIT_CODE.INTERRUPTED),
  );
  setTimeout(
    () => exitEarly("the demo exceeded its time limit", EXIT_CODE.BROKEN),
    options.seconds * MS_PER_SECOND + OVERHEAD_MS,
  ).unref();
  try {
    const report = await runDemo(options, processes, directory);
    const lines = options.json
      ? [JSON.stringify(report)]
      : formatReport(report);
    process.stdout.write(`${lines.join("\n")}\n`);
    return report.broken.length === 0 ? EXIT_CODE.KEPT : EXIT_CODE.BROKEN;
  } catch (error) {
    if (earlyExitCode !== undefined) return earlyExitCode;
    process.stderr.write(`the demo failed: ${String(error)}\n`);
    return EXIT_CODE.BROKEN;
  } finally {
    await finish();
  }
}

process.exit(await main());
