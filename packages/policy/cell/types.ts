/**
 * What the cell scheduler decides about: jobs as chains of steps, the progress of their tasks and
 * the workers that run them. A cell is the set of workers that one scheduler serves.
 */
import type {
  Branded,
  FailureDomainName,
  OrganisationName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";

/** Chosen by the caller; unique in the whole system. */
export type CellJobId = Branded<"CellJobId">;
export type QueueName = Branded<"QueueName">;
/** `{job}.{occurrence}.{step}.{index}`: one task. */
export type TaskName = Branded<"TaskName">;

/** Resources in the units that workers report: thousandths of a core, MiB, whole accelerators. */
export interface CellResources {
  readonly cpuMilli: number;
  readonly memoryMib: number;
  readonly accelerators: number;
}

/** Equal tasks that become due together. */
export interface StepSpec {
  readonly count: number;
  readonly need: CellResources;
  /** The caller's rough estimate of one task's run. */
  readonly estimateMs: number;
  /** Numbers of earlier steps whose tasks must all be done. */
  readonly after: readonly number[];
  readonly savesProgress: boolean;
  /** All tasks work only together and end together. */
  readonly isGang: boolean;
  /** Slower by the remote factor when spread over several racks. */
  readonly isRackBound: boolean;
  readonly requiredLabel: string | undefined;
  /** Rack that holds the data; slower by the remote factor elsewhere. */
  readonly dataRack: RackName | undefined;
  /** Most tasks of the step on one worker. */
  readonly maximumPerWorker: number | undefined;
  /** Runs until the job is cancelled and is started again however it ends. */
  readonly isPersistent: boolean;
  /** Uses processor time that other tasks leave; its `cpuMilli` is not counted. */
  readonly isFiller: boolean;
}

/** Runs of the same steps at fixed wall-clock times. */
export interface Recurrence {
  readonly times: number;
  readonly firstRunUnixMs: number;
  readonly intervalMs: number;
}

/** A job as it was accepted. */
export interface CellJobSpec {
  readonly jobId: CellJobId;
  readonly queue: QueueName;
  readonly service: ServiceName;
  /** Absent on public queues. */
  readonly organisation: OrganisationName | undefined;
  readonly priority: number;
  readonly maximumAttempts: number;
  /** The objective is `stretch` times the longest chain of work, plus `allowanceMs`. */
  readonly stretch: number;
  readonly allowanceMs: number;
  readonly acceptedUnixMs: number;
  /** Handed to workers unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence: Recurrence | undefined;
}

/** One worker as the scheduler sees it at the moment of a decision. */
export interface WorkerView {
  readonly worker: WorkerName;
  readonly service: ServiceName;
  readonly failureDomain: FailureDomainName;
  readonly rack: RackName;
  readonly labels: ReadonlySet<string>;
  readonly capacity: CellResources;
  readonly free: CellResources;
  /** Held by runs that are being stopped; free soon. */
  readonly releasing: CellResources;
  /** Expected duration of a run relative to a sound worker; above 1 is slower. */
  readonly slowness: number;
  /** Tasks already there by `{job}.{occurrence}.{step}`, for spread limits. */
  readonly tasksByStep: ReadonlyMap<string, number>;
}

export const JOB_STATE = {
  QUEUED: "queued",
  RUNNING: "running",
  COMPLETED: "completed",
  FAILED: "failed",
  CANCELLED: "cancelled",
} as const;
export type JobState = (typeof JOB_STATE)[keyof typeof JOB_STATE];

/** How a run of a task ended. */
export const RUN_END = {
  DONE: "done",
  FAILED: "failed",
  STOPPED: "stopped",
  LAPSED: "lapsed",
  /** Another member of the gang ended. */
  BROKEN: "broken",
  /** The other members of the gang did not come in time. */
  ALONE: "alone",
} as const;
export type RunEnd = (typeof RUN_END)[keyof typeof RUN_END];
