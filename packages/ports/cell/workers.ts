/** Workers: their records, and orders to them. */
import type {
  FailureDomainName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import type { CellResources, RunEnd, TaskName } from "@coltsfootpond/policy";
import type { Unavailable } from "../types.ts";

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
  readonly drainRemainingMs: number | undefined;
  readonly warmUpRemainingMs: number;
  /** Rises with every heartbeat of one life. */
  readonly heartbeat: number;
  /** Unix time at which this life of the worker began; a restart under the same name differs. */
  readonly incarnationStartUnixMs: number;
}

/** Which worker a call is for. */
export interface WorkerTarget {
  readonly worker: WorkerName;
  readonly address: string;
}

/** Facts that every answer of a worker carries. */
export interface ResponseMetadata {
  /** The worker's own steady clock. */
  readonly workerClockMs: number;
  readonly incarnationStartUnixMs: number;
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
  | { readonly kind: "started"; readonly metadata: ResponseMetadata }
  | {
    readonly kind: "refused";
    readonly reason: StartRefusal;
    readonly metadata: ResponseMetadata | undefined;
  }
  | { readonly kind: "wrong_life" }
  | Unavailable;

export type StopOutcome =
  | { readonly kind: "stopped"; readonly metadata: ResponseMetadata }
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
  readonly sequence: number;
  readonly task: TaskName;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

export type RenewOutcome =
  | {
    readonly kind: "report";
    readonly metadata: ResponseMetadata;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedTask[];
  }
  | { readonly kind: "fenced" }
  | { readonly kind: "wrong_life" }
  | Unavailable;

export interface StartCommand {
  readonly task: TaskName;
  readonly run: number;
  readonly payload: string;
  /** On the worker's clock; holds for all that runs there and never shortens. */
  readonly leaseUntilMs: number;
  readonly epoch: number;
  readonly checkpoint: string;
}

export interface StopCommand {
  readonly task: TaskName;
  readonly run: number;
  readonly epoch: number;
}

export interface RenewCommand {
  readonly epoch: number;
  readonly leaseUntilMs: number | undefined;
  /** Ends up to this number are forgotten by the worker. */
  readonly acknowledgedSequence: number;
  /** The answer waits this long for an end. */
  readonly longPollMs: number;
}

/** Orders to workers. A call without an answer may be carried out late. */
export interface WorkerPort {
  start(
    target: WorkerTarget,
    order: StartCommand,
    timeoutMs: number,
  ): Promise<StartOutcome>;
  stop(
    target: WorkerTarget,
    order: StopCommand,
    timeoutMs: number,
  ): Promise<StopOutcome>;
  renew(
    target: WorkerTarget,
    order: RenewCommand,
    timeoutMs: number,
  ): Promise<RenewOutcome>;
  /** Closes the connections to a worker that has left. */
  forget(target: WorkerTarget): void;
}
