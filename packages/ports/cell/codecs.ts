/** Translators between what callers, operators and workers write and the product's types. */
import type { FailureDomainName } from "@coltsfootpond/common";
import type { JobState, Recurrence, StepSpec } from "@coltsfootpond/policy";
import type { DeclaredState } from "./declared_state.ts";
import type { WorkerRecord } from "./workers.ts";

/** What the head of a caller's request says. */
export interface RequestHead {
  readonly method: "submit" | "state" | "cancel" | "other";
  readonly host: string;
  readonly path: string;
  /** The organisation's key, when one was sent. */
  readonly key: string | undefined;
  /** How long the caller waits for the answer. */
  readonly callerTimeoutMs: number | undefined;
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
export interface CallerCodec {
  decodeHead(
    method: string,
    path: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): RequestHead;
  decodeJob(body: Uint8Array): SubmittedJobOutcome;
  encodeState(state: JobState): string;
  encodeCount(waitingJobs: number): string;
}

/** Decodes what operators and workers write into the store. */
export interface RecordDecoder {
  /** Undefined when the row holds no declared state that can be used. */
  decodeDeclaredState(value: Uint8Array): DeclaredState | undefined;
  /** Undefined when the record names no worker to use. */
  decodeWorker(key: string, value: Uint8Array): WorkerRecord | undefined;
  /** What a row of the operators' table is. */
  classifyOperatorRow(key: string): OperatorRowKind;
}

export type OperatorRowKind =
  | { readonly kind: "declared_state" }
  | {
    readonly kind: "domain_out";
    readonly failureDomain: FailureDomainName;
  }
  | { readonly kind: "other" };
