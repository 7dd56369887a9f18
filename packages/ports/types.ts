/**
 * Ports to the platform's services. Everything that the system asks of the platform passes through
 * one of these interfaces; `http/` holds the HTTP+JSON clients behind them.
 */
import type {
  Adjacency,
  AttemptId,
  EntryName,
  FailureDomainName,
  JobId,
  JsonValue,
  RackName,
  Resources,
  ValueOf,
  WorkerName,
  WriteId,
} from "@coltsfootpond/common";

/** Bound on one call to the platform. */
export interface CallOptions {
  readonly timeoutMs: number;
}

/**
 * Why a call gave no usable answer. `refused`: it certainly had no effect (no connection, or the
 * service said so). `lost`: it may have had its effect.
 */
export const UNAVAILABLE_EFFECT = { REFUSED: "refused", LOST: "lost" } as const;
export type UnavailableEffect = ValueOf<typeof UNAVAILABLE_EFFECT>;

/** A call that gave no usable answer. */
export interface Unavailable {
  readonly kind: "unavailable";
  readonly effect: UnavailableEffect;
  readonly reason: string;
}

/** One row of the table service. The version rises by one with every write to the row. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly writeId: WriteId;
  readonly value: JsonValue;
}

export type RowCondition =
  | { readonly kind: "absent"; readonly key: string }
  | {
    readonly kind: "version";
    readonly key: string;
    readonly version: number;
  };

export type RowWrite =
  | { readonly kind: "put"; readonly key: string; readonly value: JsonValue }
  | { readonly kind: "delete"; readonly key: string };

/** All conditions hold and all writes are made, or nothing is. */
export interface TableTransaction {
  readonly writeId: WriteId;
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

export type TransactionOutcome =
  /** `rows` are the written rows as they now stand. */
  | { readonly kind: "committed"; readonly rows: readonly TableRow[] }
  /** `rows` are the present rows of the conditions' keys. */
  | { readonly kind: "conflict"; readonly rows: readonly TableRow[] }
  | Unavailable;

export type ReadOutcome = {
  readonly kind: "rows";
  readonly rows: readonly TableRow[];
} | Unavailable;

/** The transactional table service. */
export interface TablePort {
  transact(
    transaction: TableTransaction,
    options: CallOptions,
  ): Promise<TransactionOutcome>;
  /** Rows that exist among `keys`. */
  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome>;
  /** All rows whose key starts with `prefix`, in order of key. */
  scan(prefix: string, options: CallOptions): Promise<ReadOutcome>;
}

export type PutOutcome = { readonly kind: "stored" } | Unavailable;
export type GetOutcome =
  | { readonly kind: "found"; readonly content: Uint8Array }
  | { readonly kind: "absent" }
  | Unavailable;

/** The object store. */
export interface ObjectPort {
  put(
    key: string,
    content: Uint8Array,
    options: CallOptions,
  ): Promise<PutOutcome>;
  get(key: string, options: CallOptions): Promise<GetOutcome>;
}

/** What the platform says of one VM; the list lags. */
export interface VmRecord {
  readonly name: string;
  readonly role: "entry" | "runner";
  readonly state: "live" | "leaving";
  readonly host: string;
  readonly port: number;
  /** For runners: the service they serve and the failure domain they are in. */
  readonly service?: string;
  readonly failureDomain?: string;
  readonly slots?: number;
}

export interface VmListOptions extends CallOptions {
  /** Revision of the list that the caller has, empty when it has none; absent for the list alone. */
  readonly knownRevision?: string;
}

export type VmListOutcome =
  | {
    readonly kind: "list";
    readonly vms: readonly VmRecord[];
    /** Opaque; differs whenever the list does. Absent when the platform tells none. */
    readonly revision?: string;
  }
  /** The list still has the known revision. */
  | { readonly kind: "unchanged" }
  | Unavailable;

/** The platform's lagging list of VMs. */
export interface VmListPort {
  list(options: VmListOptions): Promise<VmListOutcome>;
}

/** One task of one attempt at running a gang. */
export interface TaskKey {
  readonly jobId: JobId;
  readonly attemptId: AttemptId;
  readonly index: number;
}

/** What a worker is asked to do. Commands to one failure domain travel in one batch. */
export type WorkerCommand =
  /** Reserves resources for `ttlMs`; runs nothing. `entry` is kept with the hold. */
  | {
    readonly kind: "hold";
    readonly worker: WorkerName;
    readonly task: TaskKey;
    readonly resources: Resources;
    readonly ttlMs: number;
  }
  | {
    readonly kind: "release";
    readonly worker: WorkerName;
    readonly task: TaskKey;
  }
  /** Turns a hold into a running task under a lease of `leaseMs`. */
  | {
    readonly kind: "start";
    readonly worker: WorkerName;
    readonly task: TaskKey;
    readonly leaseMs: number;
    readonly gangTasks: number;
    readonly adjacency: Adjacency;
    readonly payload: string;
    readonly checkpoint?: string;
  }
  | {
    readonly kind: "checkpoint";
    readonly worker: WorkerName;
    readonly task: TaskKey;
  }
  | {
    readonly kind: "throttle";
    readonly worker: WorkerName;
    readonly task: TaskKey;
    readonly share: number;
  }
  | {
    readonly kind: "stop";
    readonly worker: WorkerName;
    readonly task: TaskKey;
  }
  /** Extends the leases of every task on the workers; one status for all that are up. */
  | {
    readonly kind: "renew";
    readonly workers: readonly WorkerName[];
    readonly leaseMs: number;
  };

/** Commands of one owner to one failure domain; the epoch fences off earlier owners. */
export interface CommandBatch {
  readonly failureDomain: FailureDomainName;
  readonly epoch: number;
  readonly entry: EntryName;
  readonly commands: readonly WorkerCommand[];
}

export const COMMAND_STATUS = {
  DONE: "done",
  STALE_EPOCH: "stale_epoch",
  NO_CAPACITY: "no_capacity",
  NO_HOLD: "no_hold",
  NO_TASK: "no_task",
  WORKER_DOWN: "worker_down",
} as const;
export type CommandStatus = ValueOf<typeof COMMAND_STATUS>;

/** One status per command, in order. */
export type CommandOutcome = {
  readonly kind: "statuses";
  readonly statuses: readonly CommandStatus[];
} | Unavailable;

export const TASK_STATE = {
  HELD: "held",
  RUNNING: "running",
  CHECKPOINTED: "checkpointed",
  FINISHED: "finished",
  FAILED: "failed",
  STOPPED: "stopped",
  LOST: "lost",
} as const;
export type TaskState = ValueOf<typeof TASK_STATE>;

/** A task as the fleet last saw it. */
export interface TaskReport {
  readonly task: TaskKey;
  readonly worker: WorkerName;
  readonly state: TaskState;
  readonly resources: Resources;
  readonly runMs: number;
  /** The answer, on task 0 of a finished gang, in base64. */
  readonly outputBase64?: string;
  /** Opaque; handed back at `start` to go on from there. */
  readonly checkpoint?: string;
  /** Observed use; lags. */
  readonly used?: Resources;
}

export interface WorkerReport {
  readonly name: WorkerName;
  readonly rack: RackName;
  readonly resources: Resources;
  readonly state: "up" | "down";
}

/** What changed since the revision that was asked for. Revision 0 asks for everything. */
export interface FleetReport {
  readonly revision: number;
  readonly workers: readonly WorkerReport[];
  readonly tasks: readonly TaskReport[];
}

export type FleetReportOutcome = {
  readonly kind: "report";
  readonly report: FleetReport;
} | Unavailable;

/** The platform's workers of one failure domain. */
export interface FleetPort {
  command(batch: CommandBatch, options: CallOptions): Promise<CommandOutcome>;
  /** `forget` names ended attempts that the caller has recorded and the fleet may drop. */
  report(
    request: FleetReportRequest,
    options: CallOptions,
  ): Promise<FleetReportOutcome>;
}

export interface FleetReportRequest {
  readonly failureDomain: FailureDomainName;
  readonly sinceRevision: number;
  readonly forget: readonly AttemptId[];
}

/** All ports of the platform. */
export interface PlatformPorts {
  readonly table: TablePort;
  readonly objects: ObjectPort;
  readonly vms: VmListPort;
  readonly fleet: FleetPort;
}
