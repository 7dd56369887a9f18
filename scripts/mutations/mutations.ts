/**
 * All mutations that `npm run mutations` injects, to show that the tests of the documented promises
 * fail when a promise is broken. This file lists those of jobs, calls, configuration and the table.
 */
import { ACCESS_MUTATIONS } from "./access_mutations.ts";
import { ADMISSION_MUTATIONS } from "./admission_mutations.ts";
import { BACKGROUND_MUTATIONS } from "./background_mutations.ts";
import { CELL_MUTATIONS } from "./cell_mutations.ts";
import { CRASH_MUTATIONS } from "./crash_mutations.ts";
import { DUPLICATE_RUN_MUTATIONS } from "./duplicate_run_mutations.ts";
import { QUOTA_MUTATIONS } from "./quota_mutations.ts";
import { SPEED_MUTATIONS } from "./speed_mutations.ts";
import { STATE_MUTATIONS } from "./state_mutations.ts";
import type { Mutation } from "./types.ts";
import { WORKER_CONNECTION_MUTATIONS } from "./worker_connection_mutations.ts";

const JOBS = "packages/node/jobs";
const CALLS_TEST = "packages/node/requests/calls_test.ts";
const MODEL_TEST = "packages/node/state/model_test.ts";
const SCENARIOS_TEST = "scripts/scenarios/scenarios_test.ts";

export const MUTATIONS: readonly Mutation[] = [
  {
    name: "start although a worker refused its hold",
    promise: "gang_runs_whole",
    file: `${JOBS}/gang_start.ts`,
    find: `if (held.kind === "no_answer" || refusing.length > 0) {`,
    replace: `if (held.kind === "no_answer") {`,
    spec: `${JOBS}/gang_attempt_test.ts`,
    title: "runs nothing when one worker refuses its hold",
  },
  {
    name: "leave the other tasks of a gang running when one task is lost",
    promise: "gang_runs_whole",
    file: `${JOBS}/live_job.ts`,
    find: `if (lost.length > 0) {`,
    replace: `if (lost.length > reports.length) {`,
    spec: SCENARIOS_TEST,
    title: "bad_worker",
  },
  {
    name: "start after the failure domain was taken out of service",
    promise: "no_start_in_domain_out",
    file: `${JOBS}/gang_start.ts`,
    find: `if (!recorded || !isHoldSafe || !options.mayStart()) {`,
    replace: `if (!recorded || !isHoldSafe) {`,
    spec: `${JOBS}/gang_attempt_test.ts`,
    title: "runs nothing when the failure domain goes out",
  },
  {
    name:
      "ignore that a domain is out of service: in the engine, for waiting jobs and at starts",
    promise: "no_start_in_domain_out",
    file: `${JOBS}/domain_scheduler.ts`,
    find: `engine.apply({ kind: "domain_out", drainMs }, this.#nowMs());`,
    replace: ``,
    furtherEdits: [{
      file: `${JOBS}/live_jobs.ts`,
      find: `mayStart: () => isDomainIn() && configuration.isFresh(),`,
      replace: `mayStart: () => configuration.isFresh(),`,
    }, {
      file: `${JOBS}/jobs_controller.ts`,
      find: `if (to === undefined) return false;`,
      replace:
        `if (to === undefined || this.#schedulers.size > 0) return false;`,
    }],
    spec: SCENARIOS_TEST,
    title: "domain_out_and_back",
  },
  {
    name: "run an interrupted non-idempotent job again",
    promise: "at_most_once",
    file: `${JOBS}/stop_decision.ts`,
    find: `if (!mayRunAgain(attempt)) {`,
    replace: `if (!mayRunAgain(attempt) && attempt.failures < 0) {`,
    spec: SCENARIOS_TEST,
    title: "pinned_work_interrupted",
  },
  {
    name: "start after a hold may have expired",
    promise: "gang_runs_whole",
    file: `${JOBS}/gang_start.ts`,
    find: `if (!recorded || !isHoldSafe || !options.mayStart()) {`,
    replace: `if (!recorded || !options.mayStart()) {`,
    spec: `${JOBS}/gang_attempt_test.ts`,
    title: "runs nothing when recording took so long",
  },
  {
    name: "start a job that was cancelled before its placement was recorded",
    promise: "cancelled jobs do not start",
    file: `${JOBS}/gang_start.ts`,
    find: `if (!recorded || !isHoldSafe || !options.mayStart()) {`,
    replace: `if (!isHoldSafe) {`,
    spec: `${JOBS}/gang_attempt_test.ts`,
    title: "runs nothing when the job is cancelled",
  },
  {
    name: "never write the queue row that replaces undelivered notices",
    promise: "every accepted request is answered",
    file: `${JOBS}/job_notifier.ts`,
    find:
      `for (const failureDomain of unreached) void this.#writeRow(failureDomain);`,
    replace: `unreached.clear();`,
    spec: SCENARIOS_TEST,
    title: "entry_cut_from_peers",
  },
  {
    name: "do not retry recording an answer while the table service is down",
    promise: "every accepted request is answered",
    file: `${JOBS}/job_recorder.ts`,
    find: `while (isOwned()) {`,
    replace: `if (isOwned()) {`,
    spec: SCENARIOS_TEST,
    title: "store_down_ten_minutes",
  },
  {
    name: "pass on a reply to another attempt",
    promise: "whole_own_answer",
    file: "packages/node/upstreams/exchange.ts",
    find:
      `if (incoming.headers["x-attempt-id"] !== this.#upstreamRequest.attemptId) {`,
    replace: `if (incoming.headers["x-attempt-id"] === undefined) {`,
    spec: CALLS_TEST,
    title: "rejects replies that are truncated",
  },
  {
    name: "pass on a reply that is not framed",
    promise: "whole_own_answer",
    file: "packages/node/upstreams/exchange.ts",
    find: `if (!framed) {`,
    replace: `if (!framed && incoming.complete) {`,
    spec: CALLS_TEST,
    title: "rejects replies that are truncated",
  },
  {
    name: "retry a non-idempotent call that may have run",
    promise: "at_most_once",
    file: "packages/node/requests/filters/retry.ts",
    find: `return isProvenNotRun(outcome) || request.idempotent;`,
    replace: `return true;`,
    spec: CALLS_TEST,
    title: "reports only what is proven of each runner failure",
  },
  {
    name: "run a keyed non-idempotent call without claiming its row",
    promise: "at_most_once",
    file: "packages/node/requests/filters/deduplicate.ts",
    find: `if (!request.idempotent) return await runClaimed(request, next);`,
    replace: `if (!request.idempotent) return await next(request);`,
    spec: CALLS_TEST,
    title: "runs a keyed non-idempotent call once",
  },
  {
    name: "report only the last attempt although an earlier one may have run",
    promise: "not_run_is_true",
    file: "packages/node/requests/filters/retry.ts",
    find: `if (!willRetry) return possiblyRun ?? outcome;`,
    replace: `if (!willRetry) return outcome;`,
    spec: CALLS_TEST,
    title: "reports an idempotent request as unknown",
  },
  {
    name: "send new calls to a leaving runner",
    promise: "leaving_upstream_gets_nothing",
    file: "packages/node/upstreams/runner.ts",
    find: `return this.#vm.state === "live" && this.#report?.leaving !== true;`,
    replace: `return true;`,
    spec: CALLS_TEST,
    title: "sends a leaving runner no new calls",
  },
  {
    name: "close connections with requests in progress when the server stops",
    promise: "graceful_stop_cuts_nothing",
    file: "packages/node/http/server.ts",
    find: `    await this.#connections.whenEmpty();`,
    replace: `    this.#connections.closeAll();`,
    spec: "packages/node/http/server_test.ts",
    title: "finishes requests in progress",
  },
  {
    name: "apply an older configuration head",
    promise: "configuration_never_reverts",
    file: "packages/node/configuration/decisions.ts",
    find: `if (head !== undefined && version > known.version) {`,
    replace: `if (head !== undefined && version !== known.version) {`,
    spec: MODEL_TEST,
    title: "holds its invariants",
  },
  {
    name: "apply a late message of a lower version to a failure domain",
    promise: "no_start_in_domain_out",
    file: "packages/node/failure_domains/decisions.ts",
    find: `return incoming.version > current.version ? incoming : current;`,
    replace: `return incoming;`,
    spec: "packages/node/state/operators_test.ts",
    title: "are not changed by late messages",
  },
  {
    name: "act under an expired lease",
    promise: "one owner per failure domain",
    file: "packages/node/ownership/decisions.ts",
    find: `return lease.activeFromMs <= nowMs && nowMs < lease.activeUntilMs;`,
    replace: `return lease.activeFromMs <= nowMs;`,
    spec: MODEL_TEST,
    title: "holds its invariants",
  },
  {
    name: "take a failure domain before its lease has expired",
    promise: "one owner per failure domain",
    file: "packages/node/ownership/decisions.ts",
    find: `const waitMs = (isFree ? 0 : OWNERSHIP_LEASE_MS) +`,
    replace: `const waitMs = (isFree ? 0 : OWNERSHIP_LEASE_MS / 4) +`,
    spec: MODEL_TEST,
    title: "holds its invariants",
  },
  {
    name: "report a conflict as a lost race although the write took effect",
    promise: "not_run_is_true",
    file: "packages/ports/table/settlement.ts",
    find:
      `if (rows.some((row) => row.writeId === transaction.writeId)) return "made";`,
    replace: ``,
    spec: "packages/ports/table/resilient_table_test.ts",
    title: "settles a write whose answer was lost",
  },
  {
    name: "count reserved capacity as free for pinned jobs",
    promise: "guarantees_reclaimable",
    file: "packages/policy/placement/capacity_model.ts",
    find: `  return countFitting(getUnreservedCapacity(worker), perTask);`,
    replace: `  return countFree(worker, perTask);`,
    spec: "packages/policy/placement/engine_properties_test.ts",
    title: "hold after any sequence",
  },
  ...ACCESS_MUTATIONS,
  ...STATE_MUTATIONS,
  ...CELL_MUTATIONS,
  ...CRASH_MUTATIONS,
  ...SPEED_MUTATIONS,
  ...DUPLICATE_RUN_MUTATIONS,
  ...QUOTA_MUTATIONS,
  ...ADMISSION_MUTATIONS,
  ...WORKER_CONNECTION_MUTATIONS,
  ...BACKGROUND_MUTATIONS,
];
