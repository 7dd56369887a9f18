/** Types of the placement decisions: what the engine is told, and what it decides. */
import type {
  GuaranteeDeclaration,
  GuaranteeName,
  JobId,
  OrganisationDeclaration,
  OrganisationName,
  Priority,
  RackName,
  Resources,
  ResultName,
  ServiceName,
  Shape,
  ValueOf,
  WorkerName,
} from "@coltsfootpond/common";

/** A job as the engine sees it. */
export interface EngineJob {
  readonly jobId: JobId;
  readonly organisation: OrganisationName;
  readonly service: ServiceName;
  readonly shape: Shape;
  readonly priority: Priority;
  readonly expectedRunMs: number;
  readonly maximumRunMs: number;
  readonly canCheckpoint: boolean;
  readonly checkpointMs: number;
  readonly idempotent: boolean;
  /** How long it had waited before this engine heard of it. */
  readonly waitedMs: number;
}

/** Where one task of a gang goes. */
export interface Assignment {
  readonly index: number;
  readonly worker: WorkerName;
}

/** Why running work is asked to go. */
export const EVICTION_REASON = {
  RECLAIM: "reclaim",
  OVERRUN: "overrun",
  DOMAIN_OUT: "domain_out",
  /** Moved at the price of a checkpoint, so that a worker becomes empty. */
  COMPACTION: "compaction",
} as const;
export type EvictionReason = ValueOf<typeof EVICTION_REASON>;

/** What the engine decides. It counts its own placements at once; the caller carries them out. */
export type Decision =
  | {
    readonly kind: "place";
    readonly jobId: JobId;
    readonly assignments: readonly Assignment[];
  }
  | {
    readonly kind: "evict";
    readonly jobId: JobId;
    readonly reason: EvictionReason;
    /** How long the work may take to checkpoint before it is stopped. */
    readonly checkpointMs: number;
  }
  | {
    readonly kind: "fail";
    readonly jobId: JobId;
    readonly resultName: ResultName;
  };

/** How an attempt at running a job ended. */
export const ATTEMPT_END = {
  FINISHED: "finished",
  /** The job itself failed on a worker. */
  FAILED: "failed",
  /** Stopped by eviction, cancellation or a lost worker. */
  STOPPED: "stopped",
  /** A worker refused a hold or a start; nothing ran. */
  REFUSED: "refused",
} as const;
export type AttemptEnd = ValueOf<typeof ATTEMPT_END>;

/** A worker of the engine's failure domain. */
export interface EngineWorker {
  readonly name: WorkerName;
  readonly rack: RackName;
  readonly resources: Resources;
}

/** What the engine is told. Events are incremental; none asks for a full rescan. */
export type EngineEvent =
  | { readonly kind: "worker_up"; readonly worker: EngineWorker }
  | { readonly kind: "worker_down"; readonly worker: WorkerName }
  | {
    readonly kind: "configuration";
    /** The guarantees that this failure domain holds. */
    readonly guarantees: readonly GuaranteeDeclaration[];
    readonly organisations: readonly OrganisationDeclaration[];
  }
  | { readonly kind: "domain_in" }
  | { readonly kind: "domain_out"; readonly drainMs: number }
  | { readonly kind: "job_queued"; readonly job: EngineJob }
  /** Found already placed, after another entry owned the domain. */
  | {
    readonly kind: "job_restored";
    readonly job: EngineJob;
    readonly assignments: readonly Assignment[];
    readonly ranMs: number;
  }
  | { readonly kind: "job_started"; readonly jobId: JobId }
  /** Cancelled or moved away; a placed job keeps its capacity until `attempt_ended`. */
  | { readonly kind: "job_withdrawn"; readonly jobId: JobId }
  /** `requeue`: the job goes back to the queue with its age. */
  | {
    readonly kind: "attempt_ended";
    readonly jobId: JobId;
    readonly end: AttemptEnd;
    readonly requeue: boolean;
    readonly ranMs: number;
    /** The workers to blame for `failed` or `refused`. */
    readonly workers: readonly WorkerName[];
  };

/** Which rule holds a waiting job. */
export const WAIT_REASON = {
  NOT_WAITING: "not_waiting",
  DOMAIN_OUT: "domain_out",
  QUOTA: "quota",
  NO_CAPACITY: "no_capacity",
  GUARANTEES: "guarantees",
  BEHIND_RESERVATION: "behind_reservation",
  RECLAIMING: "reclaiming",
  NOT_LOOKED_AT: "not_looked_at",
} as const;
export type WaitReason = ValueOf<typeof WAIT_REASON>;

/** Small picture of one failure domain, sent to the other entries for choosing a home. */
export interface DomainSummary {
  /** What is free and not kept for a gang that waited long. */
  readonly freeAccelerators: number;
  readonly totalAccelerators: number;
  readonly largestRackFreeAccelerators: number;
  /** Accelerators of the rack that guarantees and pinned work leave most of. */
  readonly largestRackUnreservedAccelerators: number;
  /** Most free accelerators of any worker that runs something already. */
  readonly largestPartlyFreeAccelerators: number;
  /** Accelerators' worth of large shapes lost by the least harmful start on an empty worker. */
  readonly openingLoss: number;
  readonly freeMilliprocessors: number;
  readonly queuedJobs: number;
  readonly queuedAccelerators: number;
  readonly runningTasks: number;
}

/** A guaranteed gang for which lost capacity leaves no place. */
export interface UnplacedGuarantee {
  readonly guarantee: GuaranteeName;
  readonly organisation: OrganisationName;
  readonly ordinal: number;
  readonly resultName: ResultName;
}

/** Decides what runs where in one failure domain. */
export interface PlacementEngine {
  apply(event: EngineEvent, nowMs: number): void;
  decide(nowMs: number): readonly Decision[];
  getWaitReason(jobId: JobId): WaitReason;
  summarise(): DomainSummary;
  /** Guarantees that cannot be kept with the capacity that is left. */
  listUnplacedGuarantees(): readonly UnplacedGuarantee[];
  /** When `decide` should run next even without an event; undefined when nothing is due. */
  nextDecisionMs(): number | undefined;
}
