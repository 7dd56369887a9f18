/** Mutations of the owners of background work, and of the lease after early ends (decision 0013). */
import type { Mutation } from "./types.ts";

const CELL = "packages/node/cell";
const BACKGROUND = `${CELL}/background`;
const EARLY_ENDS = `${CELL}/lease/early_ends.ts`;
const LEASE_TEST = `${CELL}/lease/scheduler_lease_test.ts`;
const ONE_FAILURE = "one failure stays where it is";
const NO_TASK_TWICE = "no task twice after an error";
const LEASE_MOVES = "the lease moves on, and not in circles";

export const BACKGROUND_MUTATIONS: readonly Mutation[] = [
  {
    name: "drop rejections of background work",
    promise: ONE_FAILURE,
    file: `${BACKGROUND}/run_in_background.ts`,
    find:
      `result.catch((error) => reportFailure(log, activity, error, fields));`,
    replace: ``,
    spec: `${BACKGROUND}/run_in_background_test.ts`,
    title: "reports errors that are thrown and promises that reject",
  },
  {
    name: "log every failure",
    promise: ONE_FAILURE,
    file: `${BACKGROUND}/failure_log_limit.ts`,
    find: `if (period.lines >= MAXIMUM_LINES) {`,
    replace: `if (period.lines >= Infinity) {`,
    spec: `${BACKGROUND}/run_in_background_test.ts`,
    title: "counts every failure by activity",
  },
  {
    name: "end the process at an error without an owner",
    promise: ONE_FAILURE,
    file: "apps/coltsfootpond_scheduler/main.ts",
    find: `if (!isStarted) fail(error);`,
    replace: `fail(error);`,
    spec: "platform/processes/process_ends_test.ts",
    title: "goes on after errors that nothing catches",
  },
  {
    name: "plan no round with a job on which planning fails",
    promise: ONE_FAILURE,
    file: `${CELL}/rounds/isolated_planner.ts`,
    find: `if (failing.length === 0) throw error;`,
    replace: `if (failing.length >= 0) throw error;`,
    spec: `${BACKGROUND}/failing_parts_test.ts`,
    title: "starts the other jobs while one cannot be planned",
  },
  {
    name: "write no progress after an error in a write",
    promise: ONE_FAILURE,
    file: `${CELL}/progress_writer.ts`,
    find: `const isStored = await this.#attempt(() => this.#flush());`,
    replace: `const isStored = await this.#flush();`,
    spec: `${BACKGROUND}/failing_writes_test.ts`,
    title: "goes on after an error outside single jobs",
  },
  {
    name: "keep a failed probe's flag",
    promise: ONE_FAILURE,
    file: `${CELL}/direct_path.ts`,
    find: `      this.#isProbing = false;`,
    replace: ``,
    spec: `${BACKGROUND}/failing_store_calls_test.ts`,
    title: "is probed until a probe works",
  },
  {
    name: "acknowledge an end that could not be processed",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_task_runs.ts`,
    find: `      throw error;
    }
    this.#processedSequence = ended.sequence;`,
    replace: `      this.#processedSequence = ended.sequence;
      throw error;
    }
    this.#processedSequence = ended.sequence;`,
    spec: `${BACKGROUND}/failing_parts_test.ts`,
    title: "processes an end again that could not be processed",
  },
  {
    name: "acknowledge ends although a job's row is not stored",
    promise: NO_TASK_TWICE,
    file: `${CELL}/progress_writer.ts`,
    find: `        return isComplete;`,
    replace: `        return true;`,
    spec: `${BACKGROUND}/failing_writes_test.ts`,
    title: "and acknowledges no end",
  },
  {
    name: "take the lease back at once after any number of ends",
    promise: LEASE_MOVES,
    file: EARLY_ENDS,
    find: `return countShortTenures(lease) <= MAXIMUM_SHORT_TENURES;`,
    replace: `return true;`,
    spec: LEASE_TEST,
    title: "is left to another entry by a process that ends again",
  },
  {
    name: "never take the lease back at once",
    promise: LEASE_MOVES,
    file: EARLY_ENDS,
    find: `return countShortTenures(lease) <= MAXIMUM_SHORT_TENURES;`,
    replace: `return false;`,
    spec: LEASE_TEST,
    title: "is taken back at once by a process that has restarted",
  },
  {
    name: "hand the lease back to a larger entry that ends again and again",
    promise: LEASE_MOVES,
    file: `${CELL}/lease/scheduler_lease.ts`,
    find: `      : { ...kept, handedOverUnixMs: nowUnixMs() };`,
    replace: `      : kept;`,
    spec: LEASE_TEST,
    title: "is left to another entry by a process that ends again",
  },
  {
    name: "give the lease up at once at each failure",
    promise: LEASE_MOVES,
    file: EARLY_ENDS,
    find: `if (failures === 0) return 0;`,
    replace: `if (failures >= 0) return 0;`,
    spec: `${BACKGROUND}/failing_entry_test.ts`,
    title: "replaces one whose rounds fail, ever more seldom",
  },
  {
    name: "keep the lease without a scheduler",
    promise: LEASE_MOVES,
    file: `${CELL}/cell_entry.ts`,
    find: `      this.#lease.giveUp(change.epoch, "start");`,
    replace: ``,
    spec: `${BACKGROUND}/failing_entry_test.ts`,
    title: "starts a new one from the store until that works",
  },
];
