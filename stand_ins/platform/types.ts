/** Types of the platform stand-in: its faults, its declared workers and its ledger. */
import type {
  Adjacency,
  EntryName,
  FailureDomainName,
  RackName,
  Resources,
  ValueOf,
  WorkerName,
} from "@coltsfootpond/common";
import type { TaskKey, TaskState } from "@coltsfootpond/ports";

/** Faults of one service of the platform; an absent field stays unchanged. */
export interface ServiceFault {
  /** The service refuses every call. */
  readonly down?: boolean;
  /** Delays a call before its effect; past the caller's timeout it still takes effect. */
  readonly delayBeforeMs?: number;
  /** Delays the answer after the effect. */
  readonly delayAfterMs?: number;
  /** The answers of this many further calls are lost after the effect. */
  readonly loseAnswers?: number;
}

/** A change of faults, body of `POST /control/faults`; an absent field stays unchanged. */
export interface FaultRequest {
  readonly table?: ServiceFault;
  readonly objects?: ServiceFault;
  readonly fleet?: ServiceFault;
  /** Time from a change of the VM list until readers see it. */
  readonly vmListLagMs?: number;
  readonly workers?: readonly WorkerFault[];
}

export const WORKER_CONDITION = {
  HEALTHY: "healthy",
  /** Fails every task that it starts. */
  BAD: "bad",
  /** Refuses every command; the tasks on it are lost. */
  DOWN: "down",
} as const;
export type WorkerCondition = ValueOf<typeof WORKER_CONDITION>;

/** Sets the condition of one worker. */
export interface WorkerFault {
  readonly worker: WorkerName;
  readonly condition: WorkerCondition;
}

export interface FleetWorkerDeclaration {
  readonly name: WorkerName;
  readonly rack: RackName;
  readonly resources: Resources;
}

/** The workers of one failure domain, body of `POST /fleet/workers`. */
export interface FleetDeclaration {
  readonly failureDomain: FailureDomainName;
  readonly workers: readonly FleetWorkerDeclaration[];
}

/**
 * One run of one task on one worker, recorded so that promises can be checked. Times are in
 * milliseconds of the stand-in's clock.
 */
export interface TaskRun {
  readonly task: TaskKey;
  readonly failureDomain: FailureDomainName;
  readonly rack: RackName;
  readonly worker: WorkerName;
  readonly entry: EntryName;
  readonly epoch: number;
  readonly gangTasks: number;
  readonly adjacency: Adjacency;
  readonly resources: Resources;
  readonly startMs: number;
  readonly endMs?: number;
  readonly state: TaskState;
}

/** A named time on the stand-in's clock, recorded on request of a client that has another clock. */
export interface LedgerMark {
  readonly name: string;
  readonly atMs: number;
}

/** Free capacity of one rack at one time. */
export interface CapacitySample {
  readonly atMs: number;
  readonly failureDomain: FailureDomainName;
  readonly rack: RackName;
  readonly freeAccelerators: number;
  readonly totalAccelerators: number;
  readonly totalWorkers: number;
  /** Workers without a task or a hold. */
  readonly idleWorkers: number;
}

/** Everything that ran on the fleet since the start, and the load of the table service. */
export interface PlatformLedger {
  readonly nowMs: number;
  readonly runs: readonly TaskRun[];
  readonly marks: readonly LedgerMark[];
  readonly capacity: readonly CapacitySample[];
  readonly tableWrites: number;
  readonly tableReads: number;
}
