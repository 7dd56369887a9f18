/** Port to the workers: their records, and commands to start and stop tasks and to renew leases. */
import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerAddress,
  WorkerName,
} from "@coltsfootpond/common";
import type { CellResources, RunEnd, TaskName } from "@coltsfootpond/policy";
import type { Unavailable } from "../types.ts";

/** A worker as it describes itself in its row of the workers' table. */
export interface WorkerRecord {
  readonly worker: WorkerName;
  readonly service: ServiceName;
  readonly address: WorkerAddress;
  readonly failureDomain: FailureDomainName;
  readonly rack: RackName;
  readonly labels: readonly string[];
  readonly capacity: CellResources;
  readonly isDraining: boolean;
  /** Least remaining time while draining; undefined when not reported. */
  readonly drainRemainingMs: number | undefined;
  /** Time until it runs at full speed; 0 when it does. */
  readonly warmUpRemainingMs: number;
  /** Rises with every heartbeat of one incarnation. */
  readonly heartbeat: number;
  /** Start time of the worker's process; identifies its incarnation. */
  readonly incarnationStartUnixMs: number;
}

/** The worker to which a command is sent. */
export interface WorkerTarget {
  readonly worker: WorkerName;
  readonly address: WorkerAddress;
}

/** The incarnation and the clock of a worker that sent a report. */
export interface ReportMetadata {
  /** The worker's monotonic clock when it responded; each incarnation has its own. */
  readonly workerClockMs: number;
  /** 0 when not reported. */
  readonly incarnationStartUnixMs: number;
}

/**
 * Why a worker did not start a task. `fenced`: it has received a command of a higher epoch.
 * `expired`: the command's lease has ended. `unhealthy`: it could not be reached, or is overloaded.
 * `invalid`: it rejects the command as malformed.
 */
export type StartRefusal =
  | "fenced"
  | "superseded"
  | "expired"
  | "no_room"
  | "no_ticket"
  | "unhealthy"
  | "invalid";

/**
 * `wrong_life`: another instance answers at the worker's address. `restarted`: the worker answers as
 * another incarnation, and the command was not sent.
 */
export type StartOutcome =
  | { readonly kind: "started" }
  | { readonly kind: "refused"; readonly reason: StartRefusal }
  | { readonly kind: "wrong_life" }
  | { readonly kind: "restarted" }
  | Unavailable;

/** `stopped`: the worker has acknowledged the command; the end is reported by a later renewal. */
export type StopOutcome =
  | { readonly kind: "stopped" }
  | { readonly kind: "fenced" }
  | { readonly kind: "wrong_life" }
  | { readonly kind: "restarted" }
  | Unavailable;

/** One run that a worker reports as running. */
export interface RunningTask {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress; 0 when not reported. */
  readonly percent: number;
}

/** One run that a worker reports as ended. */
export interface EndedTask {
  /** Sequence number of the end; counts from 1 in each incarnation of the worker. */
  readonly sequence: number;
  readonly task: TaskName;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** `ended` lists all ends that are not acknowledged. */
export type RenewOutcome =
  | {
    readonly kind: "report";
    readonly metadata: ReportMetadata;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedTask[];
  }
  | { readonly kind: "fenced" }
  | { readonly kind: "wrong_life" }
  | Unavailable;

/**
 * A command for one incarnation of a worker. It is written only to a connection over which this
 * incarnation has sent a report: a connection ends with its process, so no other incarnation
 * receives the command.
 */
export interface IncarnationCommand {
  readonly incarnationStartUnixMs: number;
  /** Checked again right before the command is written, as opening a connection takes time. */
  readonly maySend: () => boolean;
}

/** Starts one run of a task. */
export interface StartCommand extends IncarnationCommand {
  readonly task: TaskName;
  readonly run: number;
  readonly payload: string;
  /** End of the lease, on the worker's clock; applies to all its tasks and is never shortened. */
  readonly leaseUntilMs: number;
  readonly epoch: number;
  /** Where the run continues; empty for a start from the beginning. */
  readonly checkpoint: string;
}

/** Stops one run of a task. */
export interface StopCommand extends IncarnationCommand {
  readonly task: TaskName;
  readonly run: number;
  readonly epoch: number;
}

/**
 * Extends the lease of all tasks on a worker and asks for a report of them. Another incarnation gets
 * neither the lease nor the acknowledgement; its report is returned.
 */
export interface RenewCommand
  extends Omit<IncarnationCommand, "incarnationStartUnixMs"> {
  /** Undefined to ask any incarnation for its report, without a lease or an acknowledgement. */
  readonly incarnationStartUnixMs: number | undefined;
  readonly epoch: number;
  /** Undefined to leave the lease as it is. */
  readonly leaseUntilMs: number | undefined;
  /** The worker removes ends up to this sequence number from its list. */
  readonly acknowledgedSequence: number;
  /** The worker delays its response by up to this time until a run ends; 0 for none. */
  readonly longPollMs: number;
}

/** Sends commands to workers. A command whose response was lost may still take effect later. */
export interface WorkerPort {
  start(
    target: WorkerTarget,
    command: StartCommand,
    timeoutMs: number,
  ): Promise<StartOutcome>;
  stop(
    target: WorkerTarget,
    command: StopCommand,
    timeoutMs: number,
  ): Promise<StopOutcome>;
  renew(
    target: WorkerTarget,
    command: RenewCommand,
    timeoutMs: number,
  ): Promise<RenewOutcome>;
  /** Closes the connections to a worker that is no longer used. */
  forget(target: WorkerTarget): void;
}
