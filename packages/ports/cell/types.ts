/**
 * Ports of the cell scheduler: the state store, the workers, the declared state and the entry's
 * settings. `platform/` implements them on the users' platform, `stand_ins/` for tests.
 */
import type {
  FailureDomainName,
  OrganisationName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import type {
  CellResources,
  JobState,
  QueueName,
  Recurrence,
  RunEnd,
  StepSpec,
  TaskName,
} from "@coltsfootpond/policy";
import type { Unavailable } from "../types.ts";

/** Tables of the system's own rows, and of what others write for it. */
export const STATE_TABLE = {
  /** Jobs, their progress and the scheduler's lease. */
  STATE: "state",
  /** The operators' declarations; read only. */
  OPERATORS: "operators",
  /** The workers' own records; read only. */
  WORKERS: "workers",
} as const;
export type StateTable = (typeof STATE_TABLE)[keyof typeof STATE_TABLE];

/**
 * A row at a version of the store's single counter. Deleted rows have no value. In the state table
 * the part of a key before its first slash names its group; one transaction changes one group.
 */
export interface StateRow {
  readonly key: string;
  readonly version: number;
  readonly value: Uint8Array | undefined;
}

/** Version 0 requires that the row does not exist. */
export interface StateCondition {
  readonly key: string;
  readonly version: number;
}

/** All conditions hold and all writes are made, or nothing is. Rows of the state table. */
export interface StateTransaction {
  readonly conditions: readonly StateCondition[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: Uint8Array;
  }[];
  readonly deletes: readonly string[];
}

export type TransactOutcome =
  | { readonly kind: "committed"; readonly version: number }
  /** `rows` are the present rows of the conditions; one that is missing does not exist. */
  | { readonly kind: "conflict"; readonly rows: readonly StateRow[] }
  | Unavailable;

export type StateReadOutcome =
  | {
    readonly kind: "rows";
    readonly rows: readonly StateRow[];
    /** Newest version that the answer reflects. */
    readonly version: number;
  }
  | Unavailable;

export type FollowOutcome =
  | Exclude<StateReadOutcome, Unavailable>
  /** The store no longer has the changes since then; read the table anew. */
  | { readonly kind: "history_lost" }
  | Unavailable;

/** The store: one counter of versions over all tables, linearizable, may be slow or away. */
export interface StateStore {
  transact(
    transaction: StateTransaction,
    timeoutMs: number,
  ): Promise<TransactOutcome>;
  /** Rows of `table` with keys in [fromKey, toKey), all pages. */
  read(
    table: StateTable,
    range: { readonly fromKey?: string; readonly toKey?: string },
    timeoutMs: number,
  ): Promise<StateReadOutcome>;
  /** Changes after a version, as soon as there is one or `longPollMs` has passed. */
  follow(
    table: StateTable,
    afterVersion: number,
    longPollMs: number,
    timeoutMs: number,
  ): Promise<FollowOutcome>;
}

/** A worker's record of itself. */
export interface WorkerRecord {
  readonly worker: WorkerName;
  readonly service: ServiceName;
  readonly address: string;
  readonly failureDomain: FailureDomainName;
  readonly rack: RackName;
  readonly labels: readonly string[];
  readonly capacity: CellResources;
  readonly isDraining: boolean;
  /** Least time left while draining; undefined when not told. */
  readonly drainLeftMs: number | undefined;
  readonly warmUpLeftMs: number;
  /** Rises with every heartbeat of one life. */
  readonly heartbeat: number;
  /** Unix time at which this life of the worker began; a restart under the same name differs. */
  readonly lifeUnixMs: number;
}

/** Which worker a call is for. */
export interface WorkerTarget {
  readonly worker: WorkerName;
  readonly address: string;
}

/** Facts that every answer of a worker carries. */
export interface WorkerStamp {
  /** The worker's own steady clock. */
  readonly workerClockMs: number;
  readonly lifeUnixMs: number;
}

export type StartRefusal =
  | "fenced"
  | "superseded"
  | "expired"
  | "no_room"
  | "no_ticket"
  | "unhealthy"
  | "invalid";

export type StartOutcome =
  | { readonly kind: "started"; readonly stamp: WorkerStamp }
  | {
    readonly kind: "refused";
    readonly reason: StartRefusal;
    readonly stamp: WorkerStamp | undefined;
  }
  | { readonly kind: "wrong_life" }
  | Unavailable;

export type StopOutcome =
  | { readonly kind: "stopped"; readonly stamp: WorkerStamp }
  | { readonly kind: "fenced" }
  | { readonly kind: "wrong_life" }
  | Unavailable;

export interface RunningTask {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
}

export interface EndedTask {
  /** Rises from 1 in each life of the worker. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

export type RenewOutcome =
  | {
    readonly kind: "report";
    readonly stamp: WorkerStamp;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedTask[];
  }
  | { readonly kind: "fenced" }
  | { readonly kind: "wrong_life" }
  | Unavailable;

export interface StartOrder {
  readonly task: TaskName;
  readonly run: number;
  readonly payload: string;
  /** On the worker's clock; holds for all that runs there and never shortens. */
  readonly leaseUntilMs: number;
  readonly epoch: number;
  readonly checkpoint: string;
}

export interface StopOrder {
  readonly task: TaskName;
  readonly run: number;
  readonly epoch: number;
}

export interface RenewOrder {
  readonly epoch: number;
  readonly leaseUntilMs: number | undefined;
  /** Ends up to this number are forgotten by the worker. */
  readonly acknowledgedEnd: number;
  /** The answer waits this long for an end. */
  readonly longPollMs: number;
}

/** Orders to workers. A call without an answer may be carried out late. */
export interface WorkerOrders {
  start(
    target: WorkerTarget,
    order: StartOrder,
    timeoutMs: number,
  ): Promise<StartOutcome>;
  stop(
    target: WorkerTarget,
    order: StopOrder,
    timeoutMs: number,
  ): Promise<StopOutcome>;
  renew(
    target: WorkerTarget,
    order: RenewOrder,
    timeoutMs: number,
  ): Promise<RenewOutcome>;
  /** Closes the connections to a worker that has left. */
  forget(target: WorkerTarget): void;
}

/** One queue of the declared state. */
export interface QueueDeclaration {
  readonly queue: QueueName;
  readonly service: ServiceName;
  readonly host: string;
  readonly pathPrefix: string;
  readonly isPublic: boolean;
  readonly priority: number;
  readonly maximumAttempts: number;
  readonly stretch: number;
  readonly allowanceMs: number;
  readonly timeoutMs: number;
}

export interface OrganisationGuarantee {
  readonly organisation: OrganisationName;
  /** Accelerators that belong to its urgent jobs at all times. */
  readonly accelerators: number;
}

/** The newest declared state, as a whole. */
export interface DeclaredState {
  readonly version: number;
  readonly queues: readonly QueueDeclaration[];
  readonly organisationByKey: ReadonlyMap<string, OrganisationName>;
  readonly guarantees: readonly OrganisationGuarantee[];
  /** Services whose workers refuse what does not fit. */
  readonly guardedServices: ReadonlySet<ServiceName>;
  readonly limits: {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headTimeoutMs: number;
    readonly keepAliveMs: number;
  };
}

/** Bounds that the deployment fixes. */
export interface CellBounds {
  readonly leaseMaximumMs: number;
  readonly stopLimitMs: number;
  readonly shutdownGraceMs: number;
  /** For which an ended job's state must be known. */
  readonly endedStateMs: number;
}

/** What one entry learns from its settings file. */
export interface CellSettings {
  readonly entry: string;
  readonly failureDomain: FailureDomainName;
  readonly callers: HostPort;
  readonly readiness: HostPort;
  readonly peers: HostPort | undefined;
  readonly seeds: readonly HostPort[];
  readonly store: HostPort;
  readonly processorShare: number;
  readonly workerHeartbeatMs: number;
  readonly bounds: CellBounds;
}

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** What the head of a caller's request says. */
export interface CallerHead {
  readonly method: "submit" | "state" | "cancel" | "other";
  readonly host: string;
  readonly path: string;
  /** The organisation's key, when one was sent. */
  readonly key: string | undefined;
  /** How long the caller waits for the answer. */
  readonly patienceMs: number | undefined;
}

/** A job as a caller describes it, before the queue's terms are added. */
export interface SubmittedJob {
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence: Recurrence | undefined;
}

export type SubmittedJobOutcome =
  | { readonly kind: "valid"; readonly job: SubmittedJob }
  | { readonly kind: "invalid"; readonly problem: string };

/** Translates between HTTP as callers speak it and the product's types. */
export interface CallerWire {
  decodeHead(
    method: string,
    path: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): CallerHead;
  decodeJob(body: Uint8Array): SubmittedJobOutcome;
  encodeState(state: JobState): string;
  encodeCount(waitingJobs: number): string;
}

/** Decodes what operators and workers write into the store. */
export interface RecordWire {
  /** Undefined when the row holds no declared state that can be used. */
  decodeDeclaredState(value: Uint8Array): DeclaredState | undefined;
  /** Undefined when the record names no worker to use. */
  decodeWorker(key: string, value: Uint8Array): WorkerRecord | undefined;
  /** What a row of the operators' table is. */
  classifyOperatorRow(key: string): OperatorRow;
}

export type OperatorRow =
  | { readonly kind: "declared_state" }
  | {
    readonly kind: "domain_out";
    readonly failureDomain: FailureDomainName;
  }
  | { readonly kind: "other" };
