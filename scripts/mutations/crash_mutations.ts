/** Mutations of the rules by which a task that crashes its workers is given up, and no other one. */
import type { Mutation } from "./types.ts";

const CRASHES = "packages/node/cell/crashes";
const EVIDENCE = "packages/policy/cell/crashes/crash_evidence.ts";
const EVIDENCE_TEST = "packages/policy/cell/crashes/crash_evidence_test.ts";
const FEW_CRASHES = "a task crashes few workers";
const ABLE_TASKS = "no able task is given up";

export const CRASH_MUTATIONS: readonly Mutation[] = [
  {
    name: "keep the count of crashes in memory only",
    promise: FEW_CRASHES,
    file: "packages/policy/cell/job_progress.ts",
    find:
      `...(step.crashes.isEmpty ? {} : { crashes: step.crashes.toRecords() }),`,
    replace: ``,
    spec: `${CRASHES}/crashing_task_test.ts`,
    title: "although the lease holder changes 4000 ms",
  },
  {
    name: "do not count crashes that no lease holder has seen",
    promise: FEW_CRASHES,
    file: `${CRASHES}/crash_tracker.ts`,
    find: `if (lost !== undefined) this.#recordEarlier(unit, lost);`,
    replace: ``,
    spec: `${CRASHES}/crashing_task_test.ts`,
    title: "although the lease holder changes 500 ms",
  },
  {
    name: "start all tasks of a step after a crash",
    promise: FEW_CRASHES,
    file: `${CRASHES}/suspect_units.ts`,
    find: `return first !== undefined && first !== unit;`,
    replace: `return false;`,
    spec: `${CRASHES}/able_task_test.ts`,
    title: "is the only one of its step that starts",
  },
  {
    name: "start other units beside a suspect",
    promise: FEW_CRASHES,
    file: "packages/node/cell/plan_input.ts",
    find: `!suspects.workersOfSuspects.has(worker)`,
    replace: `true`,
    spec: `${CRASHES}/able_task_test.ts`,
    title: "nothing starts beside it until it has lasted",
  },
  {
    name: "count the end of a worker under a run that lasted",
    promise: ABLE_TASKS,
    file: EVIDENCE,
    find: `if (hasLasted(survivedMs)) return undefined;`,
    replace: ``,
    spec: EVIDENCE_TEST,
    title: "is none for a run that lasted",
  },
  {
    name: "count workers that were cut off together",
    promise: ABLE_TASKS,
    file: EVIDENCE,
    find: `if (isClosed === false && isWave) return undefined;`,
    replace: ``,
    spec: `${CRASHES}/able_task_test.ts`,
    title: "after repeated cuts with restarts",
  },
  {
    name: "count planned stops",
    promise: ABLE_TASKS,
    file: `${CRASHES}/crash_tracker.ts`,
    find: `if (location === undefined || session.isDraining) return;`,
    replace: `if (location === undefined) return;`,
    spec: `${CRASHES}/crash_tracker_test.ts`,
    title: "does not count planned stops",
  },
];
