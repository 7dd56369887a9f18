/** Faults that a runner stand-in can be set to. */
import type { ValueOf } from "@coltsfootpond/common";

/** Values of `--fault` and of `PUT /fault/{name}`. */
export const RUNNER_FAULT = {
  NONE: "none",
  /** Reads the request and never replies; the request does not run. */
  SILENT: "silent",
  /** Runs the request and closes the connection in the middle of the reply. */
  TRUNCATE: "truncate",
  /** Runs the request and replies with the attempt id of the previous request. */
  CROSS: "cross",
  /** Resets the connection; the request does not run. */
  RESET: "reset",
  /** Runs the request and resets the connection. */
  CRASH: "crash",
  /** Runs the request and replies with status 500. */
  FAIL: "fail",
  /** Refuses the request as if all slots were in use. */
  REFUSE: "refuse",
} as const;
export type RunnerFault = ValueOf<typeof RUNNER_FAULT>;
