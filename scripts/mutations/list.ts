/** The faults that show that the checks of the promises can fail. */
import type { Mutation } from "./types.ts";

const JOBS = "packages/node/jobs";
const SCENARIOS = "scripts/scenarios/scenarios_test.ts";

export const MUTATIONS: readonly Mutation[] = [
  {
    name: "start although a worker refused its hold",
    promise: "gang_runs_whole",
    file: `${JOBS}/gang_start.ts`,
    find: `if (held.kind === "no_answer" || refusing.length > 0) {`,
    replace: `if (held.kind === "no_answer") {`,
    spec: `${JOBS}/attempt_task_test.ts`,
    title: "runs nothing when one worker refuses its hold",
  },
  {
    name: "leave the rest of a gang running when a member is lost",
    promise: "gang_runs_whole",
    file: `${JOBS}/active_job.ts`,
    find: `if (lost.length > 0) {`,
    replace: `if (lost.length > reports.length) {`,
    spec: SCENARIOS,
    title: "bad_worker",
  },
  {
    name: "start after the failure domain has gone out",
    promise: "no_start_in_domain_out",
    file: `${JOBS}/gang_start.ts`,
    find: `if (!recorded || !isHoldSafe || !options.mayStart()) {`,
    replace: `if (!recorded || !isHoldSafe) {`,
    spec: `${JOBS}/attempt_task_test.ts`,
    title: "runs nothing when the failure domain goes out",
  },
  {
    name: "never tell the engine that the failure domain is out",
    promise: "no_start_in_domain_out",
    file: `${JOBS}/domain_runner.ts`,
    find: `engine.apply({ kind: "domain_out", drainMs }, this.#nowMs());`,
    replace: ``,
    spec: SCENARIOS,
    title: "domain_out_and_back",
  },
  {
    name: "run an interrupted non-idempotent job again",
    promise: "at_most_once",
    file: `${JOBS}/attempt_task.ts`,
    find:
      `return !this.#everStarted || this.#options.job.service.idempotent ||`,
    replace: `return this.#everStarted || !this.#everStarted ||`,
    spec: SCENARIOS,
    title: "domain_out_and_back",
  },
  {
    name: "start after a hold may have lapsed",
    promise: "gang_runs_whole",
    file: `${JOBS}/gang_start.ts`,
    find: `if (!recorded || !isHoldSafe || !options.mayStart()) {`,
    replace: `if (!recorded || !options.mayStart()) {`,
    spec: `${JOBS}/attempt_task_test.ts`,
    title: "runs nothing when recording took so long",
  },
  {
    name: "start a job whose row was cancelled meanwhile",
    promise: "cancelled jobs do not start",
    file: `${JOBS}/gang_start.ts`,
    find: `if (!recorded || !isHoldSafe || !options.mayStart()) {`,
    replace: `if (!isHoldSafe) {`,
    spec: `${JOBS}/attempt_task_test.ts`,
    title: "runs nothing when the job is cancelled",
  },
  {
    name: "never write the row that stands in for lost notices",
    promise: "every accepted request is answered",
    file: `${JOBS}/notice_board.ts`,
    find:
      `for (const failureDomain of unheard) void this.#writeRow(failureDomain);`,
    replace: `unheard.clear();`,
    spec: SCENARIOS,
    title: "entry_cut_from_peers",
  },
  {
    name: "give up recording an answer when the table is down",
    promise: "every accepted request is answered",
    file: `${JOBS}/job_recorder.ts`,
    find: `while (isHeld()) {`,
    replace: `if (isHeld()) {`,
    spec: SCENARIOS,
    title: "store_down_ten_minutes",
  },
];
