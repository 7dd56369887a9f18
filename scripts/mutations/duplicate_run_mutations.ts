/** Mutations of the conclusions that a run is over, after which its task may run again. */
import type { Mutation } from "./types.ts";

const CELL = "packages/node/cell";
const DUPLICATE_RUNS = `${CELL}/duplicate_runs`;
const NO_TASK_TWICE = "no task twice";

export const DUPLICATE_RUN_MUTATIONS: readonly Mutation[] = [
  {
    name: "let an adopted task stand for the unreported tasks of its gang",
    promise: NO_TASK_TWICE,
    file: `${CELL}/run_registry.ts`,
    find: `unit.run = run;`,
    replace: `unit.run = run; unit.wasPlacedByThisHolder = true;`,
    spec: `${DUPLICATE_RUNS}/takeover_test.ts`,
    title: "starts no gang again while an unreported worker",
  },
  {
    name: "store only the adopted tasks of a gang as its placement",
    promise: NO_TASK_TWICE,
    file: `${CELL}/live_job.ts`,
    find: `...isDone || unit?.wasPlacedByThisHolder`,
    replace:
      `...isDone || unit?.wasPlacedByThisHolder || unit?.run !== undefined`,
    spec: `${DUPLICATE_RUNS}/takeover_test.ts`,
    title: "leaves the unreported workers of an adopted gang",
  },
  {
    name: "wait only for the workers with which the new holder has a session",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_fleet.ts`,
    find: `return clock.nowMs() - this.#createdMs <=`,
    replace:
      `return this.#sessions.has(worker) && clock.nowMs() - this.#createdMs <=`,
    spec: `${DUPLICATE_RUNS}/takeover_test.ts`,
    title: "that a worker unknown to it may still run",
  },
  {
    name: "replace the roster whatever its stored version",
    promise: NO_TASK_TWICE,
    file: `${CELL}/state_rows/put_row.ts`,
    find: `conditions: [{ key, version: known }],`,
    replace: `conditions: [],`,
    spec: `${DUPLICATE_RUNS}/takeover_test.ts`,
    title: "finds the newest roster",
  },
  {
    name: "end the runs that no report has listed with an incarnation",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_task_runs.ts`,
    find: `if (!taskRun.isListed) continue;`,
    replace: `if (taskRun.startAnsweredMs === undefined) continue;`,
    spec: `${CELL}/worker_task_runs_test.ts`,
    title: "whose start was answered stay in a new incarnation",
  },
  {
    name: "count the short lease of a start",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_leases.ts`,
    find:
      `this.#recordLeaseEnd(this.#computeLeaseEnd(this.#options.leaseMaximumMs));`,
    replace: `this.#recordLeaseEnd(this.#computeLeaseEnd(durationMs));`,
    spec: `${CELL}/worker_task_runs_test.ts`,
    title: "last up to the maximum after a start",
  },
  {
    name: "measure the age of a heartbeat on the monotonic clock only",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_directory.ts`,
    find: `Math.max(monotonicAgeMs, wallAgeMs)`,
    replace: `monotonicAgeMs`,
    spec: `${DUPLICATE_RUNS}/worker_directory_test.ts`,
    title: "counts the time for which its VM was suspended",
  },
  {
    name: "take a worker as gone whose record cannot be decoded",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_directory.ts`,
    find:
      `new Set(outcome.rows.flatMap(({ key, value }) => value ? [key] : [])),`,
    replace: `new Set(records.keys()),`,
    spec: `${DUPLICATE_RUNS}/worker_directory_test.ts`,
    title: "whose record cannot be read",
  },
  {
    name: "forget a run whose start is answered after it was dropped",
    promise: NO_TASK_TWICE,
    file: `${CELL}/task_commands.ts`,
    find:
      `if (!taskRuns.has(taskRun)) return this.#options.onStartedLate(taskRun);`,
    replace: `if (!taskRuns.has(taskRun)) return;`,
    spec: `${DUPLICATE_RUNS}/late_start_answer_test.ts`,
    title: "makes its run a stray",
  },
  {
    name: "confirm whichever run the unit has when a placement is stored",
    promise: NO_TASK_TWICE,
    file: `${CELL}/progress_writer.ts`,
    find: `if (unit.run === run) this`,
    replace: `this`,
    spec: `${DUPLICATE_RUNS}/replaced_placement_test.ts`,
    title: "confirms only the run",
  },
  {
    name: "never poll an unreachable worker without task runs",
    promise: "capacity is used again",
    file: `${CELL}/worker_session.ts`,
    find: `if (!this.isReachable || this.#isReportDue) return true;`,
    replace: `if (!this.hasReported || this.#isReportDue) return true;`,
    spec: `${CELL}/cell_scheduler_test.ts`,
    title: "uses a worker again that answers only after",
  },
  {
    name: "store no placement of an occurrence that is not due yet",
    promise: NO_TASK_TWICE,
    file: `${CELL}/live_job.ts`,
    find: `      ...this.earlierPlacements.keys(),
`,
    replace: ``,
    spec: `${DUPLICATE_RUNS}/stored_placements_test.ts`,
    title: "include an earlier placement of an occurrence",
  },
  {
    name: "store the workers of an earlier placement that have reported",
    promise: NO_TASK_TWICE,
    file: `${CELL}/live_job.ts`,
    find: `this.earlierPlacements.get(key)?.filter(isUnreported) ?? [],`,
    replace: `this.earlierPlacements.get(key) ?? [],`,
    spec: `${DUPLICATE_RUNS}/stored_placements_test.ts`,
    title: "name no worker of an earlier placement",
  },
  {
    name: "store no placement of a stray run",
    promise: NO_TASK_TWICE,
    file: `${CELL}/live_job.ts`,
    find: `...strayWorkers.get(key) ?? [],`,
    replace: ``,
    spec: `${DUPLICATE_RUNS}/stored_placements_test.ts`,
    title: "name the worker of a stray run",
  },
  {
    name: "end the runs of a later incarnation with a removed record",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_session.ts`,
    find: `
    if (incarnationStartUnixMs !== this.incarnationStartUnixMs) return;
    this.#taskRuns.dropListed`,
    replace: `
    this.#taskRuns.dropListed`,
    spec: `${CELL}/incarnations/removed_record_test.ts`,
    title: "ends the listed runs only of the incarnation",
  },
  {
    name: "name no incarnation in commands",
    promise: NO_TASK_TWICE,
    file: `${CELL}/task_commands.ts`,
    find: `      incarnationStartUnixMs: getIncarnationStartUnixMs(),`,
    replace: `      incarnationStartUnixMs: undefined as unknown as number,`,
    furtherEdits: [{
      file: `${CELL}/worker_session.ts`,
      find: `    const outcome = await workerPort.renew(this.target, {
      incarnationStartUnixMs,`,
      replace: `    const outcome = await workerPort.renew(this.target, {
      incarnationStartUnixMs: undefined,`,
    }],
    spec: `${CELL}/incarnations/addressed_commands_test.ts`,
    title: "acknowledges no end of the new incarnation",
  },
  {
    name: "end runs by an answer that is older than their starts",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_task_runs.ts`,
    find: `if (placedMs === undefined || placedMs >= requestedMs) continue;`,
    replace: ``,
    spec: `${CELL}/worker_connections/earlier_instance_test.ts`,
    title: "was started after the worker took",
  },
  {
    name: "close a session while a start is unanswered",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_session.ts`,
    find: `return !this.hasTaskRuns && !this.#commands.isStartUnanswered;`,
    replace: `return !this.hasTaskRuns;`,
    spec: `${DUPLICATE_RUNS}/late_start_answer_test.ts`,
    title: "is stopped in a cell whose",
  },
  {
    name: "grant a lease after the session was stopped",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_session.ts`,
    find: `if (this.#isStopped) return;
        const isWaiting`,
    replace: `const isWaiting`,
    spec: `${DUPLICATE_RUNS}/stopped_session_test.ts`,
    title: "grants no lease although",
  },
];
