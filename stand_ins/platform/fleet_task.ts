/** One task on a simulated worker: its lease, its progress, its checkpoint and its output. */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type {
  Adjacency,
  EntryName,
  FailureDomainName,
  RackName,
  Random,
  Resources,
  WorkerName,
} from "@coltsfootpond/common";
import type { TaskKey, TaskReport, TaskState } from "@coltsfootpond/ports";
import { TASK_STATE } from "@coltsfootpond/ports";
import type { TaskRun } from "./types.ts";

const DEFAULT_RUN_MINIMUM_MS = 200;
const DEFAULT_RUN_SPREAD_MS = 800;
const DEFAULT_CHECKPOINT_MS = 100;

/** How a task runs, as its payload requests; see `parseBehaviour`. */
export interface TaskBehaviour {
  readonly runMs: number;
  readonly checkpointMs: number;
  /** The task ends as `failed` on every worker. */
  readonly fails: boolean;
}

interface PayloadFields {
  readonly run_ms?: unknown;
  readonly checkpoint_ms?: unknown;
  readonly fail?: unknown;
}

function parseFields(payload: string): PayloadFields {
  for (
    const text of [payload, Buffer.from(payload, "base64").toString("utf8")]
  ) {
    try {
      const fields: unknown = JSON.parse(text);
      if (typeof fields === "object" && fields !== null) return fields;
    } catch {
      continue;
    }
  }
  return {};
}

/**
 * Reads `run_ms`, `checkpoint_ms` and `fail` from a JSON payload, plain or in base64. Defaults:
 * a random run time, 100 ms for a checkpoint and no failure.
 */
export function parseBehaviour(payload: string, random: Random): TaskBehaviour {
  const fields = parseFields(payload);
  const randomRunMs = DEFAULT_RUN_MINIMUM_MS +
    Math.floor(random.next() * DEFAULT_RUN_SPREAD_MS);
  return {
    runMs: typeof fields.run_ms === "number" ? fields.run_ms : randomRunMs,
    checkpointMs: typeof fields.checkpoint_ms === "number"
      ? fields.checkpoint_ms
      : DEFAULT_CHECKPOINT_MS,
    fails: fields.fail === true,
  };
}

/** The output of a gang in base64. Depends on the payload only, so every run gives the same. */
export function computeOutput(payload: string): string {
  const digest = createHash("sha256").update(payload).digest("hex");
  return Buffer.from(JSON.stringify({ answer_to: digest })).toString("base64");
}

/** What the start command contained. */
export interface TaskStartParameters {
  readonly leaseMs: number;
  readonly gangTasks: number;
  readonly adjacency: Adjacency;
  readonly payload: string;
  /** Progress of the checkpoint from which the task starts. */
  readonly doneMs: number;
  readonly behaviour: TaskBehaviour;
}

/** A task from its hold until it is forgotten. Only the fleet's classes change the fields. */
export class FleetTask {
  state: TaskState = TASK_STATE.HELD;
  revision = 0;
  /** When the hold expires, or the task's lease once it has started. */
  leaseEndMs: number;
  startMs = 0;
  endMs: number | undefined;
  checkpointDueMs: number | undefined;
  checkpoint: string | undefined;
  start: TaskStartParameters | undefined;
  #progressMs = 0;
  #progressAtMs = 0;
  #share = 1;

  private constructor(
    readonly key: TaskKey,
    readonly worker: WorkerName,
    readonly rack: RackName,
    readonly failureDomain: FailureDomainName,
    readonly resources: Resources,
    readonly entry: EntryName,
    readonly epoch: number,
    leaseEndMs: number,
  ) {
    this.leaseEndMs = leaseEndMs;
  }

  static create(options: {
    readonly key: TaskKey;
    readonly worker: WorkerName;
    readonly rack: RackName;
    readonly failureDomain: FailureDomainName;
    readonly resources: Resources;
    readonly entry: EntryName;
    readonly epoch: number;
    readonly leaseEndMs: number;
  }): FleetTask {
    return new FleetTask(
      options.key,
      options.worker,
      options.rack,
      options.failureDomain,
      options.resources,
      options.entry,
      options.epoch,
      options.leaseEndMs,
    );
  }

  /** Whether the task's resources count as used: it is held, running or checkpointed. */
  get occupiesResources(): boolean {
    return this.state === TASK_STATE.HELD || this.isLive;
  }

  get isLive(): boolean {
    return this.state === TASK_STATE.RUNNING ||
      this.state === TASK_STATE.CHECKPOINTED;
  }

  /** Starts a held task. */
  begin(start: TaskStartParameters, nowMs: number): void {
    this.start = start;
    this.state = TASK_STATE.RUNNING;
    this.startMs = nowMs;
    this.leaseEndMs = nowMs + start.leaseMs;
    this.#progressMs = start.doneMs;
    this.#progressAtMs = nowMs;
  }

  /** Continues at `share` of the full speed. */
  throttle(share: number, nowMs: number): void {
    this.#progressMs = this.getProgressMs(nowMs);
    this.#progressAtMs = nowMs;
    this.#share = share;
  }

  /** Work done, in milliseconds of run time at full speed. */
  getProgressMs(nowMs: number): number {
    if (this.state !== TASK_STATE.RUNNING) return this.#progressMs;
    return this.#progressMs + (nowMs - this.#progressAtMs) * this.#share;
  }

  /** When a running task finishes at its present share of the speed. */
  get finishDueMs(): number {
    if (this.start === undefined || this.#share <= 0) return Infinity;
    const remainingMs = this.start.behaviour.runMs - this.#progressMs;
    return this.#progressAtMs + Math.max(0, remainingMs) / this.#share;
  }

  /** Saves the progress and stops working; the task keeps its resources until `stop`. */
  suspend(atMs: number): void {
    this.#progressMs = this.getProgressMs(atMs);
    this.state = TASK_STATE.CHECKPOINTED;
    this.checkpoint = JSON.stringify({ done_ms: this.#progressMs });
    this.checkpointDueMs = undefined;
  }

  end(state: TaskState, atMs: number): void {
    this.#progressMs = this.getProgressMs(atMs);
    this.state = state;
    this.endMs = atMs;
  }

  report(nowMs: number): TaskReport {
    const hasOutput = this.state === TASK_STATE.FINISHED &&
      this.key.index === 0;
    return {
      task: this.key,
      worker: this.worker,
      state: this.state,
      resources: this.resources,
      runMs: this.start === undefined
        ? 0
        : (this.endMs ?? nowMs) - this.startMs,
      outputBase64: hasOutput && this.start !== undefined
        ? computeOutput(this.start.payload)
        : undefined,
      checkpoint: this.checkpoint,
    };
  }

  /** The run for the platform's ledger; undefined when the task never started. */
  getRun(): TaskRun | undefined {
    if (this.start === undefined) return undefined;
    return {
      task: this.key,
      failureDomain: this.failureDomain,
      rack: this.rack,
      worker: this.worker,
      entry: this.entry,
      epoch: this.epoch,
      gangTasks: this.start.gangTasks,
      adjacency: this.start.adjacency,
      resources: this.resources,
      startMs: this.startMs,
      endMs: this.endMs,
      state: this.state,
    };
  }
}

/** Progress in milliseconds that `FleetTask.suspend` saved; 0 when it is absent or unreadable. */
export function parseCheckpoint(checkpoint: string | undefined): number {
  if (checkpoint === undefined) return 0;
  try {
    const fields = JSON.parse(checkpoint) as { readonly done_ms?: unknown };
    return typeof fields.done_ms === "number" ? fields.done_ms : 0;
  } catch {
    return 0;
  }
}
