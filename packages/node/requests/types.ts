/**
 * What a request is as it passes the filter chain. Each filter takes one of these types and hands
 * the next one on, so the compiler holds the order of the chain.
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

/** As the HTTP server handed it over. */
export interface ReceivedRequest {
  readonly exchange: HttpExchange;
  readonly serviceName: ServiceName;
  readonly requestId: RequestId;
  /** Whether the caller chose the request id. */
  readonly keyed: boolean;
}

/** Bound to the configuration version that it entered with. */
export interface PinnedRequest extends ReceivedRequest {
  readonly configuration: ActiveConfiguration;
}

/** How long the caller wants its connection held, from the `Prefer` header (RFC 7240). */
export interface WaitPreference {
  readonly respondAsync: boolean;
  readonly waitMs?: number;
}

/** Its caller and its headers are known. */
export interface IdentifiedRequest extends PinnedRequest {
  readonly organisation: OrganisationDeclaration;
  readonly wait: WaitPreference;
  /** Time that the caller leaves for it, from `Deadline-Ms`. */
  readonly remainingMs?: number;
  /** The caller said `Coltsfootpond-Idempotent: false`. */
  readonly declaredNonIdempotent: boolean;
}

/** Its organisation may call its service. */
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
  /** Aborts when an idempotent call is to be given up: its caller has gone or has cancelled it. */
  readonly signal: AbortSignal | undefined;
}

/** One try of a call. */
export interface AttemptRequest extends CallRequest {
  readonly attemptNumber: number;
  /** Runners that failed it before; used again only when there is no other. */
  readonly avoid: ReadonlySet<RunnerName>;
}

/** A whole answer of a runner to this very attempt. */
export interface CallAnswer {
  readonly attemptId: AttemptId;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A request that ended without an answer. */
export interface FailedOutcome {
  readonly kind: "failed";
  readonly resultName: ResultName;
  readonly detail?: string;
  readonly retryAfterMs?: number;
  /** The runner that it failed on. */
  readonly runner?: RunnerName;
}

/** How a request ended for its caller. */
export type RequestOutcome =
  | { readonly kind: "answered"; readonly answer: CallAnswer }
  | { readonly kind: "job"; readonly status: JobStatus }
  | FailedOutcome;

/** A failed outcome in one line. */
export function failed(
  resultName: ResultName,
  details: Omit<FailedOutcome, "kind" | "resultName"> = {},
): FailedOutcome {
  const { detail, retryAfterMs, runner } = details;
  return { kind: "failed", resultName, detail, retryAfterMs, runner };
}
