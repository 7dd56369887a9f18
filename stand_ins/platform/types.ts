/** Types of the platform stand-in: its faults, its ledger and what tests may ask of it. */
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

/** Fault of one service of the platform; absent fields stay as they are. */
export interface ServiceFault {
  /** Refuses every call. */
  readonly down?: boolean;
  /** Delays a call before its effect; past the caller's timeout it still takes effect. */
  readonly delayBeforeMs?: number;
  /** Delays the answer after the effect. */
  readonly delayAfterMs?: number;
  /** So many answers to come are lost after the effect. */
  readonly loseAnswers?: number;
}

/** One change of faults. */
export interface FaultRequest {
  readonly table?: ServiceFault;
  readonly objects?: ServiceFault;
  readonly fleet?: ServiceFault;
  readonly vmListLagMs?: number;
  readonly workers?: readonly WorkerFault[];
}

export const WORKER_CONDITION = {
  HEALTHY: "healthy",
  /** Fails every task that it starts. */
  BAD: "bad",
  /** Dead: refuses every command; what ran on it is lost. */
  DOWN: "down",
} as const;
export type WorkerCondition = ValueOf<typeof WORKER_CONDITION>;

export interface WorkerFault {
  readonly worker: WorkerName;
  readonly condition: WorkerCondition;
}

/** A worker that the platform provides. */
export interface FleetWorkerDeclaration {
  readonly name: WorkerName;
  readonly rack: RackName;
  readonly resources: Resources;
}

/** The workers of one failure domain. */
export interface FleetDeclaration {
  readonly failureDomain: FailureDomainName;
  readonly workers: readonly FleetWorkerDeclaration[];
}

/** One run of one task, kept for the check of promises. Times are on the stand-in's clock. */
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

/** A named moment, so that others can place their acts on the stand-in's clock. */
export interface LedgerMark {
  readonly name: string;
  readonly atMs: number;
}

/** Free accelerators per rack at one moment. */
export interface CapacitySample {
  readonly atMs: number;
  readonly failureDomain: FailureDomainName;
  readonly rack: RackName;
  readonly freeAccelerators: number;
  readonly totalAccelerators: number;
  readonly totalWorkers: number;
  /** Workers of the rack with no task and no hold. */
  readonly idleWorkers: number;
}

export interface PlatformLedger {
  readonly nowMs: number;
  readonly runs: readonly TaskRun[];
  readonly marks: readonly LedgerMark[];
  readonly capacity: readonly CapacitySample[];
  readonly tableWrites: number;
  readonly tableReads: number;
}
