/**
 * Types of a request on its way through the filter chain. Each filter receives one of these types
 * and passes the next one on, so the compiler checks the order of the filters.
 */
import type {
  AttemptId,
  CallServiceDeclaration,
  OrganisationDeclaration,
  RequestId,
  ResultName,
  RunnerName,
  ServiceDeclaration,
  ServiceName,
} from "@coltsfootpond/common";
import type { HttpExchange } from "../http/types.ts";
import type { ActiveConfiguration, JobStatus } from "../types.ts";

/** A request as received by the HTTP server. */
export interface ReceivedRequest {
  readonly exchange: HttpExchange;
  readonly serviceName: ServiceName;
  readonly requestId: RequestId;
  /** Whether the caller chose the request id. */
  readonly keyed: boolean;
}

/** A request bound to the configuration that was in force when it arrived. */
export interface PinnedRequest extends ReceivedRequest {
  readonly configuration: ActiveConfiguration;
}

/** How long the caller waits on its connection, from the `Prefer` header (RFC 7240). */
export interface WaitPreference {
  readonly respondAsync: boolean;
  readonly waitMs?: number;
}

/** A request with its organisation and parsed headers. */
export interface IdentifiedRequest extends PinnedRequest {
  readonly organisation: OrganisationDeclaration;
  readonly wait: WaitPreference;
  /** Remaining time when the request arrived, from `Deadline-Ms`. */
  readonly remainingMs?: number;
  /** The caller sent `Coltsfootpond-Idempotent: false`. */
  readonly declaredNonIdempotent: boolean;
}

/** A request whose organisation may call its service. */
export interface AuthorisedRequest extends IdentifiedRequest {
  readonly service: ServiceDeclaration;
  readonly idempotent: boolean;
  /** On this entry's clock; absent for jobs without a deadline. */
  readonly deadlineMs?: number;
}

/** A request to a service that runners serve. */
export interface CallRequest extends AuthorisedRequest {
  readonly service: CallServiceDeclaration;
  readonly deadlineMs: number;
  /** Aborts an idempotent call when its caller disconnects or cancels it; else undefined. */
  readonly signal: AbortSignal | undefined;
}

/** One attempt of a call. */
export interface AttemptRequest extends CallRequest {
  readonly attemptNumber: number;
  /** Runners on which the call failed before; used only when there is no other. */
  readonly avoid: ReadonlySet<RunnerName>;
}

/** A complete answer of a runner to the attempt with `attemptId`. */
export interface CallAnswer {
  readonly attemptId: AttemptId;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A request that ended without an answer; the result's class says whether it has run. */
export interface FailedOutcome {
  readonly kind: "failed";
  readonly resultName: ResultName;
  readonly detail?: string;
  readonly retryAfterMs?: number;
  /** The runner on which the attempt failed. */
  readonly runner?: RunnerName;
}

/** How a request ended for its caller, or the state of its job. */
export type RequestOutcome =
  | { readonly kind: "answered"; readonly answer: CallAnswer }
  | { readonly kind: "job"; readonly status: JobStatus }
  | FailedOutcome;

/** Creates a failed outcome. */
export function failed(
  resultName: ResultName,
  details: Omit<FailedOutcome, "kind" | "resultName"> = {},
): FailedOutcome {
  const { detail, retryAfterMs, runner } = details;
  return { kind: "failed", resultName, detail, retryAfterMs, runner };
}
