/** Reports failures of background activities to the log, where they are also counted. */
import type { CellLog, LogFields } from "../log.ts";
import type { BackgroundActivity } from "./activities.ts";

export const FAILURE_EVENT = "background.failed";
/** Longest stack that is logged; enough for about 15 frames. */
const MAXIMUM_DETAIL_LENGTH = 1_500;

/** Logs a failure with its stack. Never throws, whatever was thrown as the error. */
export function reportFailure(
  log: CellLog,
  activity: BackgroundActivity,
  error: unknown,
  fields: LogFields = {},
): void {
  const detail = describeError(error);
  log.warn("background.failed", { ...fields, activity, detail });
}

/** The stack of an error, or the text of any other value, of bounded length. */
export function describeError(error: unknown): string {
  try {
    const text = error instanceof Error ? error.stack : undefined;
    return (text ?? String(error)).slice(0, MAXIMUM_DETAIL_LENGTH);
  } catch {
    // An object without a prototype, or whose conversion throws.
    return "an error that has no text";
  }
}
