/**
 * The chain of filters that handles a caller's request: each filter answers the request or passes
 * it to the next one.
 */
import type { OrganisationName } from "@coltsfootpond/common";
import type { CellJobId, CellJobSpec, JobOrigin } from "@coltsfootpond/policy";
import type {
  CallerCodec,
  DeclaredState,
  QueueDeclaration,
  RequestHead,
} from "@coltsfootpond/ports";
import { findQueue } from "../declared_state_tracker.ts";
import type { AdmissionGate } from "../admission/admission_gate.ts";
import type { TooWideUnit } from "../quotas/quota_history.ts";
import type { LogFields } from "../log.ts";
import { encodeRow } from "../rows.ts";
import {
  createOrigin,
  decideCallAccess,
  type QueueCall,
} from "./access/job_access.ts";
import type {
  AbsentOutcome,
  JobRepository,
  RefuseOutcome,
  UndecidedOutcome,
} from "./job_repository.ts";

/** A caller's request and what the filters have found out about it so far. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly readBody: (limitBytes: number) => Promise<Uint8Array | undefined>;
  readonly receivedMs: number;
  state?: DeclaredState;
  queue?: QueueDeclaration;
  organisation?: OrganisationName;
  /** The part of the path after the queue's prefix. */
  subpath?: string;
}

export interface CallerAnswer {
  readonly status: number;
  readonly body?: string;
  /** Value of the `retry-after` header, in seconds. */
  readonly retryAfterS?: number;
  /** Reason for the answer; written to the log. */
  readonly reason: string;
  /** What the answer was decided by; written to the log. */
  readonly inputs?: LogFields;
}

/** One step of the chain. */
export interface CallerFilter {
  readonly name: string;
  /** Answers the request, or returns undefined to pass it on. */
  apply(request: CallerRequest): Promise<CallerAnswer | undefined>;
}

export interface CallerFilterOptions {
  readonly codec: CallerCodec;
  readonly jobRepository: JobRepository;
  readonly admission: Pick<AdmissionGate, "check">;
  readonly getDeclaredState: () => DeclaredState | undefined;
  /** The unit of the job that can never run under its organisation's quota. */
  readonly findTooWide: (spec: CellJobSpec) => TooWideUnit | undefined;
  readonly nowUnixMs: () => number;
  /** The store's limit of the value of a row. */
  readonly rowLimitBytes: number;
}

const STATUS = {
  OK: 200,
  MALFORMED: 400,
  UNAUTHENTICATED: 401,
  NOT_FOUND: 404,
  METHOD_NOT_ALLOWED: 405,
  CONFLICT: 409,
  GONE: 410,
  TOO_LARGE: 413,
  TOO_MANY: 429,
  UNAVAILABLE: 503,
  TIMEOUT: 504,
} as const;

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/i;
/** The smallest value of the header, as callers wait only a few seconds in total. */
const RETRY_AFTER_S = 1;
/** Only operators can change a quota, which takes longer than callers repeat a submission. */
const TOO_WIDE_RETRY_AFTER_S = 30;
/**
 * Share of the caller's time-out after which a request with an unsettled write (its answer was
 * lost, so its effect is not known) is answered. The rest lets the caller retry, which settles the
 * same write.
 */
const UNSETTLED_TIMEOUT_SHARE = 0.4;

function filter(
  name: string,
  apply: (
    request: CallerRequest,
  ) => CallerAnswer | undefined | Promise<CallerAnswer | undefined>,
): CallerFilter {
  return { name, apply: async (request) => await apply(request) };
}

/** Returns the filters in the order in which they run. The last one always answers. */
export function createCallerFilters(
  options: CallerFilterOptions,
): readonly CallerFilter[] {
  const { codec, jobRepository, getDeclaredState, nowUnixMs } = options;
  return [
    filter("declared_state", (request) => {
      request.state = getDeclaredState();
      return request.state === undefined
        ? unavailable("no declared state yet")
        : undefined;
    }),
    filter("queue", (request) => {
      const { host, path } = request.head;
      const queue = request.state && findQueue(request.state, host, path);
      if (queue === undefined) {
        return { status: STATUS.NOT_FOUND, reason: "no such queue" };
      }
      request.queue = queue;
      request.subpath = path.slice(queue.pathPrefix.length);
      return undefined;
    }),
    filter("authenticate", (request) => {
      const call = getQueueCall(request);
      if (call === undefined) return unavailable("no queue");
      const access = decideCallAccess(call);
      switch (access.kind) {
        case "unauthenticated":
          return { status: STATUS.UNAUTHENTICATED, reason: "unknown key" };
        case "admitted":
          request.organisation = access.organisation;
          return undefined;
      }
    }),
    filter(
      "method",
      ({ head }) =>
        head.method === "other"
          ? { status: STATUS.METHOD_NOT_ALLOWED, reason: "method" }
          : undefined,
    ),
    filter("count", ({ head, queue, subpath }) => {
      if (subpath !== "" || head.method !== "state" || queue === undefined) {
        return undefined;
      }
      const count = jobRepository.countWaiting(queue);
      return {
        status: STATUS.OK,
        body: codec.encodeCount(count),
        reason: "count",
      };
    }),
    filter(
      "job_id",
      ({ subpath }) =>
        JOB_ID_PATTERN.test(subpath ?? "")
          ? undefined
          : { status: STATUS.NOT_FOUND, reason: "no job id" },
    ),
    filter("job", (request) => {
      switch (request.head.method) {
        case "submit":
          return submit(request, options, nowUnixMs());
        case "state":
          return showState(request, options);
        default:
          return cancel(request, options);
      }
    }),
  ];
}

async function submit(
  request: CallerRequest,
  options: CallerFilterOptions,
  nowUnixMs: number,
): Promise<CallerAnswer> {
  const { codec, jobRepository, admission, findTooWide } = options;
  const call = getQueueCall(request);
  if (call === undefined) return unavailable("no queue");
  const { queue, state } = call;
  const body = await request.readBody(state.limits.bodyBytes);
  if (body === undefined) {
    return { status: STATUS.TOO_LARGE, reason: "body too large" };
  }
  const decoded = codec.decodeJob(body);
  if (decoded.kind === "invalid") {
    return {
      status: STATUS.MALFORMED,
      body: JSON.stringify({ error: decoded.problem }),
      reason: decoded.problem,
    };
  }
  const spec: CellJobSpec = {
    ...decoded.job,
    jobId: getJobId(request),
    service: queue.service,
    ...createOrigin(call),
    priority: queue.priority,
    maximumAttempts: queue.maximumAttempts,
    stretch: queue.stretch,
    allowanceMs: queue.allowanceMs,
    acceptedUnixMs: nowUnixMs,
  };
  const { byteLength } = encodeRow({ kind: "live", spec });
  if (byteLength > options.rowLimitBytes) {
    return { status: STATUS.TOO_LARGE, reason: "job too large" };
  }
  const deadlineMs = getDeadlineMs(request);
  const tooWide = jobRepository.isKnown(spec.jobId)
    ? undefined
    : findTooWide(spec);
  if (tooWide !== undefined) {
    const { kind } = await jobRepository.refuse(spec.jobId, deadlineMs);
    return kind === "accepted"
      ? answerStored(request, call, options)
      : answerTooWide(kind, tooWide);
  }
  const gate = await admission.check(spec, state.guarantees, deadlineMs);
  const outcome = gate.kind === "pass"
    ? await jobRepository.submit(spec, deadlineMs)
    : gate;
  switch (outcome.kind) {
    case "accepted":
      return answerStored(request, call, options);
    case "refused":
      return unavailable("the store refused the job");
    case "rejected":
      return { status: STATUS.TOO_LARGE, reason: "the store rejected the job" };
    case "refused_now": {
      const { retryAfterS, reason } = outcome;
      return { status: STATUS.TOO_MANY, retryAfterS, reason };
    }
    case "barred":
      return unavailable("another try of the job was refused");
    case "unknown":
      return { status: STATUS.TIMEOUT, reason: "fate of the write unknown" };
  }
}

async function showState(
  request: CallerRequest,
  { codec, jobRepository }: CallerFilterOptions,
): Promise<CallerAnswer> {
  const call = getQueueCall(request);
  if (call === undefined) return unavailable("no queue");
  const outcome = await jobRepository.getState(
    getJobId(request),
    call,
    getDeadlineMs(request),
  );
  switch (outcome.kind) {
    case "state":
      return {
        status: STATUS.OK,
        body: codec.encodeState(outcome.state, outcome.failureReason),
        reason: outcome.state,
      };
    case "absent":
      return answerAbsent(request, outcome);
    case "undecided":
      return answerUndecided(request, outcome);
    case "unknown":
      return unavailable("the store does not answer");
    case "unreadable":
      return unavailable("the job's row cannot be read");
  }
}

async function cancel(
  request: CallerRequest,
  { jobRepository }: CallerFilterOptions,
): Promise<CallerAnswer> {
  const call = getQueueCall(request);
  if (call === undefined) return unavailable("no queue");
  const outcome = await jobRepository.cancel(
    getJobId(request),
    call,
    getDeadlineMs(request),
  );
  switch (outcome.kind) {
    case "cancelled":
    case "ended":
      return { status: STATUS.OK, body: "{}", reason: outcome.kind };
    case "absent":
      return answerAbsent(request, outcome);
    case "undecided":
      return answerUndecided(request, outcome);
    case "refused":
      return unavailable("the store is away");
    case "unreadable":
      return unavailable("the job's row cannot be read");
    case "unknown":
      return { status: STATUS.TIMEOUT, reason: "fate of the write unknown" };
  }
}

/** Undefined before the filters have found the declared state and the queue. */
function getQueueCall(
  { state, queue, head }: CallerRequest,
): QueueCall | undefined {
  return state && queue && { state, queue, key: head.key };
}

/** This answer is final for a caller, so its inputs are logged. */
function answerAbsent(
  request: CallerRequest,
  { reason, origin }: AbsentOutcome,
): CallerAnswer {
  return {
    status: STATUS.GONE,
    reason: `no such job: ${reason}`,
    inputs: listAccessInputs(request, origin),
  };
}

function answerUndecided(
  request: CallerRequest,
  { reason, origin }: UndecidedOutcome,
): CallerAnswer {
  return {
    ...unavailable(`whose job it is cannot be told: ${reason}`),
    inputs: listAccessInputs(request, origin),
  };
}

/** What decides whether the call may read and cancel the job. */
function listAccessInputs(
  { queue, organisation }: CallerRequest,
  origin: JobOrigin | undefined,
): LogFields {
  return {
    queue: queue?.queue,
    isPublic: queue?.isPublic,
    organisation,
    jobQueue: origin?.queue,
    jobOrganisation: origin?.organisation,
  };
}

function getJobId({ subpath }: CallerRequest): CellJobId {
  return (subpath ?? "") as CellJobId;
}

/** When a request whose write is still unsettled is answered, on the process's clock. */
function getDeadlineMs({ head, queue, receivedMs }: CallerRequest): number {
  const limitMs = queue?.timeoutMs ?? 0;
  const callerTimeoutMs = Math.min(head.callerTimeoutMs ?? limitMs, limitMs);
  return receivedMs + callerTimeoutMs * UNSETTLED_TIMEOUT_SHARE;
}

/** A job of this id is stored. It is the caller's, unless the caller may not read and cancel it. */
function answerStored(
  request: CallerRequest,
  call: QueueCall,
  { jobRepository }: CallerFilterOptions,
): CallerAnswer {
  const denial = jobRepository.findDenial(getJobId(request), call);
  switch (denial?.kind) {
    case undefined:
      return { status: STATUS.OK, body: "{}", reason: "accepted" };
    case "absent":
      return {
        status: STATUS.CONFLICT,
        body: JSON.stringify({ error: "the id is in use" }),
        reason: `the id is that of another job: ${denial.reason}`,
        inputs: listAccessInputs(request, denial.origin),
      };
    case "undecided":
      return {
        status: STATUS.TIMEOUT,
        reason: `whose job it is cannot be told: ${denial.reason}`,
        inputs: listAccessInputs(request, denial.origin),
      };
  }
}

/** Refuses the job, unless an earlier try of it may be stored. */
function answerTooWide(
  refusal: Exclude<RefuseOutcome["kind"], "accepted">,
  unit: TooWideUnit,
): CallerAnswer {
  const reason = "a unit is wider than the quota";
  switch (refusal) {
    case "refused":
      return {
        status: STATUS.TOO_MANY,
        body: JSON.stringify({ error: reason, ...unit }),
        retryAfterS: TOO_WIDE_RETRY_AFTER_S,
        reason,
      };
    case "unavailable":
      return unavailable("the store refused the job");
    case "unknown":
      return { status: STATUS.TIMEOUT, reason: "fate of the write unknown" };
  }
}

function unavailable(reason: string): CallerAnswer {
  return { status: STATUS.UNAVAILABLE, retryAfterS: RETRY_AFTER_S, reason };
}
