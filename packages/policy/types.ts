/** Types of the placement engine: its input events, its decisions and its reports. */
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

/** A job as the engine places it: what of its submission matters for placement. */
export interface EngineJob {
  readonly jobId: JobId;
  readonly organisation: OrganisationName;
  readonly service: ServiceName;
  readonly shape: Shape;
  readonly priority: Priority;
  readonly expectedRunMs: number;
  readonly maximumRunMs: number;
  /** Can write a checkpoint when evicted and continue from it later. */
  readonly canCheckpoint: boolean;
  /** Time that a checkpoint takes. */
  readonly checkpointMs: number;
  /** May be run again from the start. */
  readonly idempotent: boolean;
  /** Time that it had waited before this engine received it. */
  readonly waitedMs: number;
}

/** The worker of one task of a gang. */
export interface Assignment {
  readonly index: number;
  readonly worker: WorkerName;
}

/** Why a placed job is evicted. */
export const EVICTION_REASON = {
  /** An organisation reclaims the capacity of its guarantee. */
  RECLAIM: "reclaim",
  /** The job ran longer than its maximum. */
  OVERRUN: "overrun",
  /** The failure domain was taken out of service. */
  DOMAIN_OUT: "domain_out",
  /** Moved at the cost of a checkpoint, so that a worker becomes empty. */
  COMPACTION: "compaction",
} as const;
export type EvictionReason = ValueOf<typeof EVICTION_REASON>;

/** A decision. The engine counts it as applied at once; the caller executes it. */
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
    /** Time that the job gets for a checkpoint before it is stopped. */
    readonly checkpointMs: number;
  }
  | {
    readonly kind: "fail";
    readonly jobId: JobId;
    readonly resultName: ResultName;
  };

/** How an attempt to run a job ended. */
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

/** Input of the engine. Events are incremental; none requires a full rescan. */
export type EngineEvent =
  | { readonly kind: "worker_up"; readonly worker: EngineWorker }
  | { readonly kind: "worker_down"; readonly worker: WorkerName }
  | {
    readonly kind: "configuration";
    /** The guarantees assigned to this failure domain. */
    readonly guarantees: readonly GuaranteeDeclaration[];
    readonly organisations: readonly OrganisationDeclaration[];
  }
  | { readonly kind: "domain_in" }
  | { readonly kind: "domain_out"; readonly drainMs: number }
  | { readonly kind: "job_queued"; readonly job: EngineJob }
  /** The job was already placed when this engine was created after a change of owner. */
  | {
    readonly kind: "job_restored";
    readonly job: EngineJob;
    readonly assignments: readonly Assignment[];
    readonly ranMs: number;
  }
  | { readonly kind: "job_started"; readonly jobId: JobId }
  /**
   * Cancelled or moved to another failure domain; a placed job keeps its capacity until
   * `attempt_ended`.
   */
  | { readonly kind: "job_withdrawn"; readonly jobId: JobId }
  /** `requeue`: the job is queued again and keeps its waiting time. */
  | {
    readonly kind: "attempt_ended";
    readonly jobId: JobId;
    readonly end: AttemptEnd;
    readonly requeue: boolean;
    readonly ranMs: number;
    /** The workers that reported `failed` or `refused`. */
    readonly workers: readonly WorkerName[];
  };

/** The rule because of which a waiting job is not placed. */
export const WAIT_REASON = {
  NOT_WAITING: "not_waiting",
  DOMAIN_OUT: "domain_out",
  QUOTA: "quota",
  NO_CAPACITY: "no_capacity",
  /** The capacity that it could use is kept for guarantees. */
  GUARANTEES: "guarantees",
  /** It would delay a job with a backfill reservation. */
  BEHIND_RESERVATION: "behind_reservation",
  /** Has claimed a place that evicted work still has to leave. */
  RECLAIMING: "reclaiming",
  /** No decision round has tried its class yet. */
  NOT_LOOKED_AT: "not_looked_at",
} as const;
export type WaitReason = ValueOf<typeof WAIT_REASON>;

/**
 * State of one failure domain, sent to the other entries, which choose a failure domain for each
 * job.
 */
export interface DomainSummary {
  /** Free accelerators of workers without a backfill reservation. */
  readonly freeAccelerators: number;
  readonly totalAccelerators: number;
  readonly largestRackFreeAccelerators: number;
  /** Most accelerators of any rack that neither guarantees nor pinned work take. */
  readonly largestRackUnreservedAccelerators: number;
  /** Most free accelerators of any worker that is partly used. */
  readonly largestPartlyFreeAccelerators: number;
  /**
   * Least loss, in accelerators of large shapes that no longer fit, by a start on an empty worker.
   */
  readonly openingLoss: number;
  readonly freeMilliprocessors: number;
  readonly queuedJobs: number;
  readonly queuedAccelerators: number;
  readonly runningTasks: number;
}

/** A guarantee unit without a place, because capacity was lost. */
export interface UnplacedGuarantee {
  readonly guarantee: GuaranteeName;
  readonly organisation: OrganisationName;
  /** Index among the gangs of the guarantee, from 0. */
  readonly ordinal: number;
  readonly resultName: ResultName;
}

/** Decides what runs where in one failure domain; the owner of the failure domain runs it. */
export interface PlacementEngine {
  /** Updates the state; its effects are in the result of the next `decide`. */
  apply(event: EngineEvent, nowMs: number): void;
  /** Returns the decisions due now. To be called after events and at `nextDecisionMs`. */
  decide(nowMs: number): readonly Decision[];
  /** Why a job waits; `NOT_WAITING` if it is placed or the engine does not have it. */
  getWaitReason(jobId: JobId): WaitReason;
  /** Summary of the present state, for the other entries. */
  summarise(): DomainSummary;
  /** Guarantee units that have no place with the present capacity. */
  listUnplacedGuarantees(): readonly UnplacedGuarantee[];
  /** When `decide` should run next even without an event; undefined if nothing is due. */
  nextDecisionMs(): number | undefined;
}
