/** Mutations of the cell's scheduler, its lease, its path to the store and its task runs. */
import type { Mutation } from "./types.ts";

const CELL = "packages/node/cell";
const POLICY = "packages/policy/cell";
const FAULTS_TEST = `${CELL}/cell_faults_test.ts`;
const FAULT_SEQUENCES = "keeps its invariants";
const NO_TASK_TWICE = "no task twice";
const ONE_HOLDER = "one holder acts";
const VERSIONS_IN_FORCE = "versions in force in time";
const ACCEPTED = "accepted jobs are kept, refused ones never run";

export const CELL_MUTATIONS: readonly Mutation[] = [
  {
    name: "drop an unlisted run although its start is unanswered",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_task_runs.ts`,
    find:
      `if (provenClockMs === undefined || provenClockMs >= reportClockMs) return;`,
    replace: ``,
    spec: `${CELL}/worker_task_runs_test.ts`,
    title: "stay until a report after an answered start",
  },
  {
    name: "count a stop of an earlier incarnation as proof",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_task_runs.ts`,
    find: `taskRun.stoppedClockMs = undefined;`,
    replace: ``,
    spec: `${CELL}/worker_task_runs_test.ts`,
    title: "do not count a stop of an earlier incarnation",
  },
  {
    name: "apply a report that is older than the newest",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_task_runs.ts`,
    find: `if (reportClockMs < this.#lastReportClockMs) return;`,
    replace: ``,
    spec: `${CELL}/worker_task_runs_test.ts`,
    title: "are compared with the newest report",
  },
  {
    name:
      "count leases as expired before the slowest clock has passed their end",
    promise: NO_TASK_TWICE,
    file: `${CELL}/worker_leases.ts`,
    find: `(nowMs - receivedMs) * SLOWEST_CLOCK_RATE;`,
    replace: `(nowMs - receivedMs) * 1.1;`,
    spec: `${CELL}/worker_task_runs_test.ts`,
    title: "last as long as the slowest clock allows",
  },
  {
    name: "send starts before their placement is stored",
    promise: NO_TASK_TWICE,
    file: `${CELL}/cell_scheduler.ts`,
    find: `this.#writer.mark(unit.job, true);`,
    replace: `this.#runs.sendStarts(unit);`,
    spec: `${CELL}/cell_scheduler_test.ts`,
    title: "sends no start before its placement is stored",
  },
  {
    name: "start old jobs although a worker that has not reported may run them",
    promise: NO_TASK_TWICE,
    file: `${CELL}/cell_scheduler.ts`,
    find:
      `!unit.wasRunByThisHolder && mayStillRunUnreported(unit, unreported),`,
    replace: `false,`,
    spec: FAULTS_TEST,
    title: FAULT_SEQUENCES,
  },
  {
    name: "start a step before the steps before it are done",
    promise: "steps in order",
    file: `${POLICY}/job_progress.ts`,
    find: `this.isStepDone(occurrence, earlier)`,
    replace: `this.isStepDone(occurrence, earlier) || earlier >= 0`,
    spec: FAULTS_TEST,
    title: FAULT_SEQUENCES,
  },
  {
    name: "count a failed run each time it is listed",
    promise: "attempts",
    file: `${POLICY}/job_progress.ts`,
    find: `  runs.add(run);`,
    replace: `  runs.add(run + runs.size);`,
    spec: `${POLICY}/job_progress_test.ts`,
    title: "counts a failed run once",
  },
  {
    name: "act longer than other entries wait before they acquire the lease",
    promise: ONE_HOLDER,
    file: `${CELL}/scheduler_lease.ts`,
    find: `const limitMs = SCHEDULER_LEASE_MS - ACTING_MARGIN_MS;`,
    replace: `const limitMs = SCHEDULER_LEASE_MS * 2;`,
    spec: `${CELL}/scheduler_lease_test.ts`,
    title: "has at most one holder that may act",
  },
  {
    name: "hand the lease over repeatedly",
    promise: ONE_HOLDER,
    file: `${CELL}/scheduler_lease.ts`,
    find: `this.#held.handedOverUnixMs = this.#options.nowUnixMs();`,
    replace: ``,
    spec: `${CELL}/scheduler_lease_test.ts`,
    title: "is handed over to a much larger entry",
  },
  {
    name: "return refused although an unanswered write may still take effect",
    promise: ACCEPTED,
    file: `${CELL}/job_repository.ts`,
    find: `mayBeWritten ||= outcome.effect === "lost";`,
    replace: ``,
    spec: `${CELL}/job_repository_test.ts`,
    title: "does not return refused",
  },
  {
    name: "return refused although only the last of several tries was refused",
    promise: ACCEPTED,
    file: `${CELL}/store_relay.ts`,
    find: `return first?.effect === "lost" ? first : second;`,
    replace: `return second;`,
    spec: `${CELL}/store_relay_test.ts`,
    title: "returns refused only when no try",
  },
  {
    name: "wait in each call on a direct path that is known to be silent",
    promise: ACCEPTED,
    file: `${CELL}/store_relay.ts`,
    find: `if (!this.#direct.isDown || !hasPeers) {`,
    replace: `if (this.#direct.isDown || true) {`,
    spec: `${CELL}/store_relay_test.ts`,
    title: "does not wait on a direct path",
  },
  {
    name: "never record that the direct path answers again",
    promise: ACCEPTED,
    file: `${CELL}/direct_path.ts`,
    find: `if (outcome.kind === "rows") this.#recordResult(true);`,
    replace: ``,
    spec: `${CELL}/store_relay_test.ts`,
    title: "uses it again",
  },
  {
    name: "continue from the version of an empty answer of the feed",
    promise: VERSIONS_IN_FORCE,
    file: `${CELL}/table_follower.ts`,
    find: `      ...rows.map((row) => row.version),`,
    replace: `      version,`,
    spec: `${CELL}/table_follower_test.ts`,
    title: "does not miss a change that the feed never sent",
  },
  {
    name: "apply rows of a peer's copy that were deleted since",
    promise: VERSIONS_IN_FORCE,
    file: `${CELL}/table_follower.ts`,
    find: `this.#rows.get(row.key)?.value !== undefined && this.#applyRow(row)`,
    replace: `this.#applyRow(row)`,
    spec: `${CELL}/peer_rows_poller_test.ts`,
    title: "applies only newer versions of known rows",
  },
  {
    name: "place a gang without capacity for all its tasks",
    promise: "gangs start whole",
    file: `${POLICY}/fit.ts`,
    find: `    if (chosen.length === request.count) return chosen;`,
    replace: `    if (chosen.length > 0) return chosen;`,
    spec: `${POLICY}/plan_round_test.ts`,
    title: "waits when no rack has enough free capacity",
  },
];
