/**
 * Ports to the platform's table service, object store, VM list and workers, for `coltsfootpondd`.
 * `http/http_platform.ts` implements them over HTTP+JSON.
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

/** Options of every call. */
export interface CallOptions {
  readonly timeoutMs: number;
}

/**
 * The effect of a call without a usable response. `refused`: it certainly had none (no connection,
 * or the service reported so). `lost`: it may have taken effect, or still may.
 */
export const UNAVAILABLE_EFFECT = { REFUSED: "refused", LOST: "lost" } as const;
export type UnavailableEffect = ValueOf<typeof UNAVAILABLE_EFFECT>;

/** The outcome of a call without a usable response; `reason` is for logs. */
export interface Unavailable {
  readonly kind: "unavailable";
  readonly effect: UnavailableEffect;
  readonly reason: string;
  /** The other end has closed or refused the connection, as when its process ends. */
  readonly isConnectionLost?: true;
  /**
   * Nothing arrived in time over connections that had carried answers before. They may have gone
   * silent, so the client has replaced them: the next call opens a new one.
   */
  readonly isSilent?: true;
}

/** One row of the table service. The version rises by one with every write to the row. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly writeId: WriteId;
  readonly value: JsonValue;
}

/** Requires that a row is absent, or has the given version. */
export type RowCondition =
  | { readonly kind: "absent"; readonly key: string }
  | {
    readonly kind: "version";
    readonly key: string;
    readonly version: number;
  };

/** Replaces or deletes one row. */
export type RowWrite =
  | { readonly kind: "put"; readonly key: string; readonly value: JsonValue }
  | { readonly kind: "delete"; readonly key: string };

/** Atomic writes: made only if every condition is satisfied. */
export interface TableTransaction {
  readonly writeId: WriteId;
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

export type TransactionOutcome =
  /** `rows` are the written rows that exist after the transaction. */
  | { readonly kind: "committed"; readonly rows: readonly TableRow[] }
  /** `rows` are the current rows of the conditions' keys. */
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
  /** The rows of `keys` that exist. */
  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome>;
  /** All rows whose keys start with `prefix`, in order of key. */
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

/** One VM in the platform's list, which may be out of date. */
export interface VmRecord {
  readonly name: string;
  readonly role: "entry" | "runner";
  readonly state: "live" | "leaving";
  readonly host: string;
  readonly port: number;
  /** Of runners only: their service, failure domain and number of concurrent requests. */
  readonly service?: string;
  readonly failureDomain?: string;
  readonly slots?: number;
}

export interface VmListOptions extends CallOptions {
  /** Revision of the caller's copy, empty for none; when absent, the outcome is always the list. */
  readonly knownRevision?: string;
}

export type VmListOutcome =
  | {
    readonly kind: "list";
    readonly vms: readonly VmRecord[];
    /** Opaque; changes whenever the list does. Absent when the platform sends none. */
    readonly revision?: string;
  }
  /** The list still has the revision `knownRevision`. */
  | { readonly kind: "unchanged" }
  | Unavailable;

/** The platform's list of VMs, which may be out of date. */
export interface VmListPort {
  list(options: VmListOptions): Promise<VmListOutcome>;
}

/** Identifies one task of one attempt at running a gang. */
export interface TaskKey {
  readonly jobId: JobId;
  readonly attemptId: AttemptId;
  readonly index: number;
}

/** A command to a worker. Commands to one failure domain are sent in one batch. */
export type WorkerCommand =
  /** Reserves resources for `ttlMs`; runs nothing. The hold records the batch's `entry`. */
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
    /** Fraction of full speed at which the task continues. */
    readonly share: number;
  }
  | {
    readonly kind: "stop";
    readonly worker: WorkerName;
    readonly task: TaskKey;
  }
  /**
   * Extends the leases of all tasks on those of the listed workers that are up. One status for the
   * whole command.
   */
  | {
    readonly kind: "renew";
    readonly workers: readonly WorkerName[];
    readonly leaseMs: number;
  };

/** Commands of an owner to its failure domain; commands of a lower epoch are refused. */
export interface CommandBatch {
  readonly failureDomain: FailureDomainName;
  readonly epoch: number;
  readonly entry: EntryName;
  readonly commands: readonly WorkerCommand[];
}

/** Result of one command. `NO_HOLD`: the task has no hold; `NO_TASK`: it does not run there. */
export const COMMAND_STATUS = {
  DONE: "done",
  STALE_EPOCH: "stale_epoch",
  NO_CAPACITY: "no_capacity",
  NO_HOLD: "no_hold",
  NO_TASK: "no_task",
  WORKER_DOWN: "worker_down",
} as const;
export type CommandStatus = ValueOf<typeof COMMAND_STATUS>;

/** One status per command, in the order of the commands. */
export type CommandOutcome = {
  readonly kind: "statuses";
  readonly statuses: readonly CommandStatus[];
} | Unavailable;

/** State of a task on a worker; `LOST`: its lease expired or its worker went down. */
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

/** A task as its worker last reported it. */
export interface TaskReport {
  readonly task: TaskKey;
  readonly worker: WorkerName;
  readonly state: TaskState;
  readonly resources: Resources;
  /** Time since its start, up to its end; 0 for a task that has not started. */
  readonly runMs: number;
  /** The job's answer in base64; only on task 0 of a finished gang. */
  readonly outputBase64?: string;
  /** Opaque; a `start` with it continues from there. */
  readonly checkpoint?: string;
  /** Measured use of resources; may be out of date. */
  readonly used?: Resources;
}

/** A worker and its state; a `down` worker runs no tasks. */
export interface WorkerReport {
  readonly name: WorkerName;
  readonly rack: RackName;
  readonly resources: Resources;
  readonly state: "up" | "down";
}

/** Changes since the requested revision; revision 0 requests everything. */
export interface FleetReport {
  readonly revision: number;
  readonly workers: readonly WorkerReport[];
  readonly tasks: readonly TaskReport[];
}

export type FleetReportOutcome = {
  readonly kind: "report";
  readonly report: FleetReport;
} | Unavailable;

/** The workers, reached through the platform by failure domain. */
export interface FleetPort {
  command(batch: CommandBatch, options: CallOptions): Promise<CommandOutcome>;
  /** `forget` lists ended attempts that the caller has recorded; the platform may drop them. */
  report(
    request: FleetReportRequest,
    options: CallOptions,
  ): Promise<FleetReportOutcome>;
}

/** Asks for the changes in one failure domain after `sinceRevision`. */
export interface FleetReportRequest {
  readonly failureDomain: FailureDomainName;
  readonly sinceRevision: number;
  readonly forget: readonly AttemptId[];
}

export interface PlatformPorts {
  readonly table: TablePort;
  readonly objects: ObjectPort;
  readonly vms: VmListPort;
  readonly fleet: FleetPort;
}
