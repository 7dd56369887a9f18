/** Why a start did not start its task, and what that shows of the work that was to start. */
import type { RejectionKind } from "@coltsfootpond/policy";
import type { StartRefusal } from "@coltsfootpond/ports";

/** `unanswered`: the worker sent no answer, and its report does not list the run. */
export type StartProblem =
  | StartRefusal
  | "wrong_life"
  | "restarted"
  | "unanswered";

/** Undefined for problems that come from a change of the worker's process or of the lease holder. */
export function classifyProblem(
  problem: StartProblem,
): RejectionKind | undefined {
  switch (problem) {
    case "no_ticket":
      return "unauthorized";
    case "invalid":
      return "malformed";
    case "no_room":
    case "unhealthy":
    case "superseded":
    case "expired":
    case "unanswered":
      return "unspecific";
    case "fenced":
    case "wrong_life":
    case "restarted":
      return undefined;
  }
}
