/**
 * Types of the cell scheduler: jobs as graphs of steps, job and run states, and the workers. A cell
 * is the set of workers that one scheduler serves.
 */
import type {
  Branded,
  FailureDomainName,
  OrganisationName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";

/** Chosen by the caller; unique in the whole deployment. */
export type CellJobId = Branded<"CellJobId">;
/** Name of a declared job queue. */
export type QueueName = Branded<"QueueName">;
/** Identifies one task: `{job}.{occurrence}.{step}.{index}`. */
export type TaskName = Branded<"TaskName">;

/** Resources in the units that workers report: thousandths of a core, MiB, accelerators. */
export interface CellResources {
  readonly cpuMilli: number;
  readonly memoryMib: number;
  readonly accelerators: number;
}

/** One step of a job: equal tasks that become due together. */
export interface StepSpec {
  readonly count: number;
  readonly need: CellResources;
  /** The caller's rough estimate of the duration of one task. */
  readonly estimateMs: number;
  /** Indexes of the earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Its tasks write checkpoints, from which a later run continues. */
  readonly savesProgress: boolean;
  /** The tasks form one gang: they start and end together. */
  readonly isGang: boolean;
  /** The gang is slower by the remote factor, a constant of the platform, if spread over racks. */
  readonly isRackBound: boolean;
  readonly requiredLabel: string | undefined;
  /** Rack that stores the data; tasks are slower by the remote factor elsewhere. */
  readonly dataRack: RackName | undefined;
  /** Upper limit of tasks of the step on one worker; undefined for no limit. */
  readonly maximumPerWorker: number | undefined;
  /** Runs until the job is cancelled; started again after every run end. */
  readonly isPersistent: boolean;
  /** Uses only processor time that other tasks leave; its `cpuMilli` is not counted. */
  readonly isFiller: boolean;
}

/** Repeats the steps at fixed wall-clock times; each repetition is an occurrence. */
export interface Recurrence {
  readonly times: number;
  readonly firstRunUnixMs: number;
  readonly intervalMs: number;
}

/** By what call a job was submitted; kept in its row also after its end. */
export interface JobOrigin {
  readonly queue: QueueName;
  /** Digest of the address at which it was called; missing in rows of earlier versions. */
  readonly addressTag?: string;
  /** Undefined if the call had no known API key, as public queues admit. */
  readonly organisation: OrganisationName | undefined;
  /** Digest of its known API key; missing in rows of earlier versions. */
  readonly keyTag?: string;
}

/** A job as accepted from the caller; stored in this form. */
export interface CellJobSpec extends JobOrigin {
  readonly jobId: CellJobId;
  readonly service: ServiceName;
  readonly priority: number;
  /** Failed runs of one unit after which the job fails. */
  readonly maximumAttempts: number;
  /** The time objective is `stretch` times the critical path, plus `allowanceMs`. */
  readonly stretch: number;
  readonly allowanceMs: number;
  readonly acceptedUnixMs: number;
  /** Passed to workers unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence: Recurrence | undefined;
}

/** State of one worker at the time of a decision. */
export interface WorkerView {
  readonly worker: WorkerName;
  readonly service: ServiceName;
  readonly failureDomain: FailureDomainName;
  readonly rack: RackName;
  readonly labels: ReadonlySet<string>;
  readonly capacity: CellResources;
  readonly free: CellResources;
  /** Used by runs that are being stopped; free soon. */
  readonly releasing: CellResources;
  /** Expected run duration relative to a healthy worker; above 1 is slower. */
  readonly slowness: number;
  /** Estimated speed relative to the usual worker, in few classes; 1 where not known. */
  readonly speed: number;
  /** Whether enough samples support `speed`; undefined for all workers if it is given. */
  readonly isSpeedMeasured?: boolean | undefined;
  /** Number of tasks on it by `{job}.{occurrence}.{step}`, for `maximumPerWorker`. */
  readonly tasksByStep: ReadonlyMap<string, number>;
}

/** State of a job, as reported to callers and stored. */
export const JOB_STATE = {
  QUEUED: "queued",
  RUNNING: "running",
  COMPLETED: "completed",
  FAILED: "failed",
  CANCELLED: "cancelled",
} as const;
export type JobState = (typeof JOB_STATE)[keyof typeof JOB_STATE];

/** How a run of a task ended, as listed by its worker. */
export const RUN_END = {
  DONE: "done",
  FAILED: "failed",
  STOPPED: "stopped",
  /** The worker stopped it, because its lease expired without renewal. */
  LAPSED: "lapsed",
  /** Another task of the gang ended. */
  BROKEN: "broken",
  /** The other tasks of the gang did not start in time. */
  ALONE: "alone",
} as const;
export type RunEnd = (typeof RUN_END)[keyof typeof RUN_END];
