/**
 * Starts a gang all or nothing: reserves a hold on every worker, records the placement, then starts
 * the tasks. Holds run nothing and expire by themselves, so a crash before the placement is
 * recorded leaves nothing behind. Also creates the other commands of a gang's tasks.
 */
import type {
  AttemptId,
  Clock,
  EntryName,
  JobServiceDeclaration,
  WorkerName,
} from "@coltsfootpond/common";
import type {
  CommandBatch,
  CommandStatus,
  FleetPort,
  TaskKey,
  WorkerCommand,
} from "@coltsfootpond/ports";
import { COMMAND_STATUS } from "@coltsfootpond/ports";
import type { Assignment } from "@coltsfootpond/policy";
import { HOLD_TTL_MS, TASK_LEASE_MS } from "../constants.ts";
import type { JobRow } from "../rows.ts";
import type { OwnedDomain } from "../types.ts";

const COMMAND_TIMEOUT_MS = 1_500;
/** The start must reach the workers this long before their holds expire. */
const HOLD_MARGIN_MS = 2_000;

/** Sends command batches to the workers of one owned failure domain under its epoch. */
export interface FleetCommander {
  /** Statuses in order of the commands; a batch that is fenced by a newer epoch has no answer. */
  command(commands: readonly WorkerCommand[]): Promise<FleetAnswer>;
}

export type FleetAnswer =
  | { readonly kind: "statuses"; readonly statuses: readonly CommandStatus[] }
  /** `mayHaveActed`: the commands may have been carried out. */
  | { readonly kind: "no_answer"; readonly mayHaveActed: boolean };

export interface FleetCommanderOptions {
  readonly fleet: FleetPort;
  readonly owned: OwnedDomain;
  readonly entry: EntryName;
  /** Checked right before each batch is sent. */
  readonly mayAct: () => boolean;
}

export function createFleetCommander(
  options: FleetCommanderOptions,
): FleetCommander {
  return { command: (commands) => sendBatch(options, commands) };
}

async function sendBatch(
  options: FleetCommanderOptions,
  commands: readonly WorkerCommand[],
): Promise<FleetAnswer> {
  if (!options.mayAct()) return { kind: "no_answer", mayHaveActed: false };
  const { failureDomain, epoch } = options.owned;
  const batch: CommandBatch = {
    failureDomain,
    epoch,
    entry: options.entry,
    commands,
  };
  const outcome = await options.fleet.command(batch, {
    timeoutMs: COMMAND_TIMEOUT_MS,
  });
  if (outcome.kind === "unavailable") {
    return { kind: "no_answer", mayHaveActed: outcome.effect === "lost" };
  }
  const isFenced = outcome.statuses.includes(COMMAND_STATUS.STALE_EPOCH);
  return isFenced ? { kind: "no_answer", mayHaveActed: false } : outcome;
}

export interface GangStart {
  readonly row: JobRow;
  readonly service: JobServiceDeclaration;
  readonly attemptId: AttemptId;
  readonly assignments: readonly Assignment[];
}

export type GangStartOutcome =
  | { readonly kind: "started" }
  /** Nothing ran. `workers` refused a hold; empty when something else prevented the start. */
  | {
    readonly kind: "not_started";
    readonly workers: readonly WorkerName[];
    /** Whether the placement is recorded in the job's row. */
    readonly recorded: boolean;
  }
  /** Some tasks may run, so all must be stopped. `workers` refused the start. */
  | {
    readonly kind: "partly_started";
    readonly workers: readonly WorkerName[];
  };

export interface GangStartOptions {
  readonly clock: Clock;
  readonly commander: FleetCommander;
  /** Records the placement by compare-and-set; false when the row's version has changed. */
  readonly recordPlacement: () => Promise<boolean>;
  /** Whether the failure domain is in and the job not withdrawn; checked right before the start. */
  readonly mayStart: () => boolean;
}

/** Carries out one placement decision of the engine. */
export async function startGang(
  start: GangStart,
  options: GangStartOptions,
): Promise<GangStartOutcome> {
  const { commander, clock } = options;
  const heldAtMs = clock.nowMs();
  const held = await commander.command(createHolds(start));
  const refusing = listRefusingWorkers(start, held);
  if (held.kind === "no_answer" || refusing.length > 0) {
    await commander.command(createReleases(start));
    return { kind: "not_started", workers: refusing, recorded: false };
  }
  const recorded = await options.recordPlacement();
  const isHoldSafe = clock.nowMs() - heldAtMs < HOLD_TTL_MS - HOLD_MARGIN_MS;
  if (!recorded || !isHoldSafe || !options.mayStart()) {
    await commander.command(createReleases(start));
    return { kind: "not_started", workers: [], recorded };
  }
  const started = await commander.command(createStarts(start));
  if (started.kind === "no_answer") {
    return started.mayHaveActed
      ? { kind: "partly_started", workers: [] }
      : { kind: "not_started", workers: [], recorded: true };
  }
  const failing = listRefusingWorkers(start, started);
  return failing.length === 0
    ? { kind: "started" }
    : { kind: "partly_started", workers: failing };
}

export function createTaskKey(
  start: Pick<GangStart, "row" | "attemptId">,
  index: number,
): TaskKey {
  return { jobId: start.row.jobId, attemptId: start.attemptId, index };
}

function listRefusingWorkers(
  start: GangStart,
  answer: FleetAnswer,
): readonly WorkerName[] {
  if (answer.kind === "no_answer") return [];
  return start.assignments
    .filter((_assignment, position) =>
      answer.statuses[position] !== COMMAND_STATUS.DONE
    )
    .map((assignment) => assignment.worker);
}

function createHolds(start: GangStart): readonly WorkerCommand[] {
  return start.assignments.map((assignment) => ({
    kind: "hold",
    worker: assignment.worker,
    task: createTaskKey(start, assignment.index),
    resources: start.service.shape.perTask,
    ttlMs: HOLD_TTL_MS,
  }));
}

function createReleases(start: GangStart): readonly WorkerCommand[] {
  return start.assignments.map((assignment) => ({
    kind: "release",
    worker: assignment.worker,
    task: createTaskKey(start, assignment.index),
  }));
}

function createStarts(start: GangStart): readonly WorkerCommand[] {
  return start.assignments.map((assignment) => ({
    kind: "start",
    worker: assignment.worker,
    task: createTaskKey(start, assignment.index),
    leaseMs: TASK_LEASE_MS,
    gangTasks: start.assignments.length,
    adjacency: start.service.shape.adjacency,
    payload: start.row.payload,
    checkpoint: start.row.checkpoints?.[assignment.index],
  }));
}

/** One command of the given kind for every task of an attempt. */
export function createTaskCommands(
  kind: "checkpoint" | "stop",
  start: Pick<GangStart, "row" | "attemptId" | "assignments">,
): readonly WorkerCommand[] {
  return start.assignments.map((assignment) => ({
    kind,
    worker: assignment.worker,
    task: createTaskKey(start, assignment.index),
  }));
}

/** Renews the leases of all tasks on `workers` by one command. */
export function createLeaseRenewal(
  workers: Iterable<WorkerName>,
): WorkerCommand {
  return {
    kind: "renew",
    workers: [...new Set(workers)],
    leaseMs: TASK_LEASE_MS,
  };
}
