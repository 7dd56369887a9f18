/**
 * Interfaces between the platform's formats and this system's types: requests and responses of
 * callers, and the rows that operators and workers write.
 */
import type { FailureDomainName } from "@coltsfootpond/common";
import type {
  FailureReason,
  JobState,
  Recurrence,
  StepSpec,
} from "@coltsfootpond/policy";
import type { DeclaredState } from "./declared_state.ts";
import type { WorkerRecord, WorkerTarget } from "./workers.ts";

/** The decoded method, path and headers of a caller's request. */
export interface RequestHead {
  /** What the caller requests, by the HTTP method. */
  readonly method: "submit" | "state" | "cancel" | "other";
  readonly host: string;
  readonly path: string;
  /** The organisation's API key; undefined when none was sent. */
  readonly key: string | undefined;
  /** How long the caller waits for the response; undefined when the request does not say. */
  readonly callerTimeoutMs: number | undefined;
}

/** A job as a caller describes it, before the queue's parameters are added. */
export interface SubmittedJob {
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence: Recurrence | undefined;
}

/** `problem` names the malformed field and the expected value. */
export type SubmittedJobOutcome =
  | { readonly kind: "valid"; readonly job: SubmittedJob }
  | { readonly kind: "invalid"; readonly problem: string };

/** Decodes callers' HTTP requests and encodes the bodies of the responses. */
export interface CallerCodec {
  decodeHead(
    method: string,
    path: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): RequestHead;
  decodeJob(body: Uint8Array): SubmittedJobOutcome;
  /** The body of a response about one job; `failureReason` says why a failed one has ended. */
  encodeState(state: JobState, failureReason?: FailureReason): string;
  /** The body of a response about a queue: the number of its jobs that have begun no task. */
  encodeCount(waitingJobs: number): string;
}

/** `unusable`: the record names no worker to use; the field, and what it should be. */
export type WorkerRecordOutcome =
  | { readonly kind: "record"; readonly record: WorkerRecord }
  | {
    readonly kind: "unusable";
    readonly field: string;
    readonly expected: string;
  };

/** Decodes the rows that operators and workers write to the store. */
export interface RecordDecoder {
  /** Undefined when the value is not a valid declared state. */
  decodeDeclaredState(value: Uint8Array): DeclaredState | undefined;
  /** `key` is the worker's name. */
  decodeWorker(key: string, value: Uint8Array): WorkerRecordOutcome;
  /** The same checks of a name and an address; undefined when no call could be made to them. */
  decodeWorkerTarget(name: unknown, address: unknown): WorkerTarget | undefined;
  /** The kind of a row of the operators' table, by its key. */
  classifyOperatorRow(key: string): OperatorRowKind;
}

/** `domain_out`: the row's existence takes the failure domain out of service. */
export type OperatorRowKind =
  | { readonly kind: "declared_state" }
  | {
    readonly kind: "domain_out";
    readonly failureDomain: FailureDomainName;
  }
  | { readonly kind: "other" };
