/**
 * Numbered result codes. `docs/ERRORS.md` documents the same table; a test compares the two. The
 * class says what a caller may conclude: `answered` (the response is the whole answer), `not_run`
 * (the request has certainly not run), `unknown` (it may have run).
 */
import type { ValueOf } from "./ids.ts";

/** What a caller may conclude from a result. */
export const RESULT_CLASS = {
  ANSWERED: "answered",
  NOT_RUN: "not_run",
  UNKNOWN: "unknown",
} as const;
export type ResultClass = ValueOf<typeof RESULT_CLASS>;

/** One row of the table of result codes. */
export interface ResultCodeRow {
  readonly code: number;
  readonly class: ResultClass;
  readonly httpStatus: number;
  readonly title: string;
}

function row(
  code: number,
  resultClass: ResultClass,
  httpStatus: number,
  title: string,
): ResultCodeRow {
  return { code, class: resultClass, httpStatus, title };
}

const { ANSWERED, NOT_RUN, UNKNOWN } = RESULT_CLASS;

/** All result codes by name. */
export const RESULT = {
  ANSWERED: row(1000, ANSWERED, 200, "answered"),
  ACCEPTED: row(
    1001,
    ANSWERED,
    202,
    "accepted; the answer can be fetched later",
  ),

  MALFORMED: row(2000, NOT_RUN, 400, "the request is malformed"),
  UNAUTHENTICATED: row(2001, NOT_RUN, 401, "no valid bearer token"),
  FORBIDDEN: row(2002, NOT_RUN, 403, "the token does not allow this"),
  UNKNOWN_SERVICE: row(2003, NOT_RUN, 404, "no such service"),
  UNKNOWN_REQUEST: row(2004, NOT_RUN, 404, "no such request"),
  BODY_TOO_LARGE: row(2005, NOT_RUN, 413, "the body exceeds the limit"),
  NOT_FOUND: row(2006, NOT_RUN, 404, "no such resource"),
  METHOD_NOT_ALLOWED: row(
    2007,
    NOT_RUN,
    405,
    "the resource does not support this method",
  ),
  REQUEST_ID_CONFLICT: row(
    2008,
    NOT_RUN,
    409,
    "the request id was used with a different request",
  ),
  SHAPE_NEVER_FITS: row(
    2009,
    NOT_RUN,
    422,
    "the job's shape fits no place in the deployment",
  ),

  RATE_LIMITED: row(
    3000,
    NOT_RUN,
    429,
    "the organisation's request rate is used up",
  ),
  CONCURRENCY_LIMITED: row(
    3001,
    NOT_RUN,
    429,
    "the organisation's concurrent requests are used up",
  ),
  QUEUE_FULL: row(3002, NOT_RUN, 503, "the queue is full"),
  DEADLINE_UNREACHABLE: row(3003, NOT_RUN, 504, "the deadline cannot be met"),
  OVERLOADED: row(3004, NOT_RUN, 503, "the entry is overloaded"),
  QUOTA_EXCEEDED: row(
    3005,
    NOT_RUN,
    429,
    "the organisation's quota is used up",
  ),
  NO_UPSTREAM: row(3006, NOT_RUN, 503, "no upstream can take the request"),
  STOPPING: row(3007, NOT_RUN, 503, "the entry is stopping"),
  CONFIGURATION_STALE: row(
    3008,
    NOT_RUN,
    503,
    "the entry cannot confirm its configuration",
  ),
  NO_CONFIGURATION: row(
    3009,
    NOT_RUN,
    503,
    "no configuration has been accepted yet",
  ),
  NO_OWNER: row(3010, NOT_RUN, 503, "no failure domain can take the job now"),

  UPSTREAM_REFUSED: row(
    4000,
    NOT_RUN,
    503,
    "the upstream refused before running",
  ),
  UPSTREAM_UNREACHABLE: row(
    4001,
    NOT_RUN,
    503,
    "no connection to an upstream could be made",
  ),
  UPSTREAM_LOST: row(
    4002,
    UNKNOWN,
    502,
    "the connection was lost after the request was sent",
  ),
  UPSTREAM_TIMEOUT: row(
    4003,
    UNKNOWN,
    504,
    "the upstream made no progress in time",
  ),
  UPSTREAM_MISMATCH: row(
    4004,
    UNKNOWN,
    502,
    "the upstream sent an answer to another attempt",
  ),
  UPSTREAM_TRUNCATED: row(
    4005,
    UNKNOWN,
    502,
    "the upstream's answer was incomplete",
  ),
  UPSTREAM_FAILED: row(
    4006,
    UNKNOWN,
    502,
    "the upstream failed while running the request",
  ),
  ATTEMPT_UNSETTLED: row(
    4007,
    UNKNOWN,
    409,
    "an earlier attempt's outcome is not known",
  ),

  TABLE_UNAVAILABLE: row(
    5000,
    NOT_RUN,
    503,
    "the platform's table service is unavailable",
  ),
  TABLE_UNSETTLED: row(
    5001,
    UNKNOWN,
    503,
    "the outcome of a table write is not known",
  ),
  OBJECTS_UNAVAILABLE: row(
    5002,
    UNKNOWN,
    503,
    "the platform's object store is unavailable",
  ),
  WORKERS_UNAVAILABLE: row(
    5003,
    NOT_RUN,
    503,
    "the platform's workers cannot be commanded",
  ),

  CONFIGURATION_INVALID: row(
    6000,
    NOT_RUN,
    422,
    "the declarations are invalid",
  ),
  CONFIGURATION_CONFLICT: row(
    6001,
    NOT_RUN,
    412,
    "another configuration was accepted first",
  ),
  GUARANTEES_INFEASIBLE: row(
    6002,
    NOT_RUN,
    422,
    "the guaranteed shapes do not fit all at once",
  ),
  DOMAIN_CONFLICT: row(
    6003,
    NOT_RUN,
    409,
    "the failure domain was changed by another operator",
  ),
  UNKNOWN_DOMAIN: row(6004, NOT_RUN, 404, "no such failure domain"),
  PRECONDITION_REQUIRED: row(
    6005,
    NOT_RUN,
    428,
    "If-Match with the base version is required",
  ),

  JOB_FAILED: row(7000, ANSWERED, 500, "the job failed"),
  JOB_FAILED_REPEATEDLY: row(
    7001,
    ANSWERED,
    500,
    "the job failed on several healthy workers",
  ),
  JOB_OVERRAN: row(7002, ANSWERED, 500, "the job ran past its maximum time"),
  JOB_CANCELLED: row(7003, ANSWERED, 410, "the job was cancelled"),
  JOB_INTERRUPTED: row(
    7004,
    UNKNOWN,
    500,
    "a non-idempotent job was interrupted and is not run again",
  ),
  GUARANTEE_IMPOSSIBLE: row(
    7005,
    NOT_RUN,
    503,
    "lost capacity makes a guarantee impossible",
  ),

  MESH_REFUSED: row(8000, NOT_RUN, 401, "the mesh peer was refused"),
  INTERNAL: row(9000, UNKNOWN, 500, "internal error"),
} as const satisfies Readonly<Record<string, ResultCodeRow>>;

/** The name of a result code, a key of `RESULT`. */
export type ResultName = keyof typeof RESULT;
