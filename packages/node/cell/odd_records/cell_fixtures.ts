/** Simulated cells for the tests of odd records among the workers' ones. */
import type { WorkerName } from "@coltsfootpond/common";
import type { WorkerRecord } from "@coltsfootpond/ports";
import type { CellScheduler } from "../cell_scheduler.ts";
import { CellSimulation } from "../cell_simulation.ts";
import { decodeRow, type RosterRow } from "../rows.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

/** Id of the job that `startRun` starts. */
export const JOB = "00000000000000cc";
export const UNDECLARED = "undeclared" as WorkerRecord["service"];
/** Enough for a holder to start, collect the reports and write the roster. */
export const SETTLE_MS = 1_000;
/** Enough for a job to start on a worker whose record was put when the job was submitted. */
export const START_MS = 2_500;

/** Puts the record of the live worker `base` with changes under `key`. */
export function putRecord(
  simulation: CellSimulation,
  key: string,
  base: string,
  changes: Partial<WorkerRecord> = {},
): void {
  const { storedRecord, record } = simulation.get(base);
  const worker = key as WorkerName;
  simulation.workerTable.putOddRow(key, {
    kind: "record",
    record: { ...storedRecord ?? record, worker, ...changes },
  });
}

/** Submits a job of one endless task for the worker `label`. */
export async function submitFor(
  simulation: CellSimulation,
  label: string,
  jobId = JOB,
): Promise<void> {
  const steps = [createStep({ requiredLabel: label })];
  await simulation.submit(createSpec(jobId, { steps }));
}

const holders = new WeakMap<CellSimulation, CellScheduler>();

/** Starts a holder; the one before, which was started here too, stops. */
export function startHolder(
  simulation: CellSimulation,
  onGivenUp: () => void = () => {},
): void {
  const earlier = holders.get(simulation);
  if (earlier !== undefined) simulation.stopScheduler(earlier);
  holders.set(simulation, simulation.startScheduler(undefined, onGivenUp));
}

/** A cell with the workers "a" and "b", whose holder has started a task on "a". */
export async function startRun(): Promise<CellSimulation> {
  const simulation = CellSimulation.create(["a", "b"]);
  startHolder(simulation);
  await submitFor(simulation, "a");
  await simulation.clock.advance(START_MS);
  return simulation;
}

/** The keys of the workers that the stored roster lists. */
export function readRoster(simulation: CellSimulation): readonly string[] {
  return [...simulation.store.rows().values()]
    .filter(({ key }) => key.includes("roster"))
    .flatMap(({ value }) =>
      value === undefined ? [] : decodeRow<RosterRow>(value).workers
    )
    .map(([worker]) => worker);
}

/** Number of calls to targets of the worker's name, at any address. */
export function countCalls(simulation: CellSimulation, worker: string): number {
  return [...simulation.callsByTarget].reduce(
    (sum, [target, calls]) =>
      target.startsWith(`${worker} `) ? sum + calls : sum,
    0,
  );
}

/** Events that the schedulers have logged with the worker's name. */
export function recordEvents(simulation: CellSimulation): string[] {
  const events: string[] = [];
  const record = (event: string) => void events.push(event);
  simulation.log = { ...simulation.log, info: record, warn: record };
  return events;
}
