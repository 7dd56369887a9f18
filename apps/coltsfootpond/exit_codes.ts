/** Exit codes of the command line, and the one for each problem document. */
import { RESULT_CLASS, type ValueOf } from "@coltsfootpond/common";
import type { Problem } from "./entry_client.ts";

/** What a script may conclude from the end of a command. */
export const EXIT_CODE = {
  OK: 0,
  INTERNAL: 1,
  USAGE: 2,
  /** The declarations are invalid or infeasible, or a job's shape fits nowhere; nothing changed. */
  INVALID: 3,
  /** Another operator's change was accepted first, or another request has this request id. */
  CONFLICT: 4,
  /** Proven not to have run. */
  NOT_RUN: 5,
  /** It may have run. */
  UNKNOWN: 6,
  /** No entry could be reached. */
  UNREACHABLE: 7,
  /** The token is missing, unknown or not allowed to do this. */
  DENIED: 8,
  /** The request ran and its answer is a failure. */
  FAILED: 9,
  /** Accepted, but not all live entries reported it in force in time. */
  NOT_CONFIRMED: 10,
} as const;
export type ExitCode = ValueOf<typeof EXIT_CODE>;

const STATUS_UNAUTHENTICATED = 401;
const STATUS_FORBIDDEN = 403;
const CONFLICT_STATUSES: readonly number[] = [409, 412];
const STATUS_INVALID = 422;

/** The exit code for a problem document. */
export function getProblemExitCode(problem: Problem): ExitCode {
  if (
    problem.status === STATUS_UNAUTHENTICATED ||
    problem.status === STATUS_FORBIDDEN
  ) return EXIT_CODE.DENIED;
  if (problem.class === RESULT_CLASS.UNKNOWN) return EXIT_CODE.UNKNOWN;
  if (problem.class === RESULT_CLASS.ANSWERED) return EXIT_CODE.FAILED;
  if (CONFLICT_STATUSES.includes(problem.status)) return EXIT_CODE.CONFLICT;
  if (problem.status === STATUS_INVALID) return EXIT_CODE.INVALID;
  return EXIT_CODE.NOT_RUN;
}
