/** Returns the outcome of a call from its stored row, for resends and lookups. */
import { assertNever } from "@coltsfootpond/common";
import type { CallRecords, CallRow } from "./call_records.ts";
import { MINIMUM_RETRY_AFTER_MS } from "./constants.ts";
import { failed, type RequestOutcome } from "./types.ts";

/** Fails with `OBJECTS_UNAVAILABLE` when the recorded answer cannot be read now. */
export async function replayCall(
  records: CallRecords,
  row: CallRow,
): Promise<RequestOutcome> {
  const retryAfterMs = MINIMUM_RETRY_AFTER_MS;
  switch (row.state) {
    case "answered": {
      const found = await records.readAnswer(row);
      if (found.kind === "unavailable") {
        return failed("OBJECTS_UNAVAILABLE", { retryAfterMs });
      }
      return { kind: "answered", answer: found.answer };
    }
    case "not_run":
      return failed(row.resultName ?? "UPSTREAM_REFUSED", { retryAfterMs });
    case "attempting":
      return failed("ATTEMPT_UNSETTLED", { retryAfterMs });
    case "unknown":
      return failed("ATTEMPT_UNSETTLED");
    default:
      return assertNever(row.state);
  }
}
