/** Faults that a runner stand-in can be told to show. */
import type { ValueOf } from "@coltsfootpond/common";

export const RUNNER_FAULT = {
  NONE: "none",
  /** Takes the request and never says anything; the request does not run. */
  SILENT: "silent",
  /** Runs the request and cuts the reply in the middle. */
  TRUNCATE: "truncate",
  /** Runs the request and sends the reply of another attempt. */
  CROSS: "cross",
  /** Resets the connection before running. */
  RESET: "reset",
  /** Resets the connection after running. */
  CRASH: "crash",
  /** Runs the request and replies with 500. */
  FAIL: "fail",
  /** Refuses as if its slots were full. */
  REFUSE: "refuse",
} as const;
export type RunnerFault = ValueOf<typeof RUNNER_FAULT>;
