/** Finds a request by its id: a job, a recorded call, or a call in progress on this entry. */
import type { OrganisationName, RequestId } from "@coltsfootpond/common";
import type { JobLookup, JobOperations } from "../types.ts";
import type { CallRecords } from "./call_records.ts";
import type { CallsInProgress } from "./calls_in_progress.ts";
import { MINIMUM_RETRY_AFTER_MS } from "./constants.ts";
import type { JobWaits } from "./job_waits.ts";
import { replayCall } from "./replay_call.ts";
import { failed, type RequestOutcome, type WaitPreference } from "./types.ts";

export interface RequestLookupOptions {
  readonly jobs: JobOperations;
  readonly records: CallRecords;
  readonly calls: CallsInProgress;
  readonly waits: JobWaits;
}

const RETRY_SOON = { retryAfterMs: MINIMUM_RETRY_AFTER_MS };

function toOutcome(lookup: JobLookup): RequestOutcome {
  switch (lookup.kind) {
    case "found":
      return { kind: "job", status: lookup.status };
    case "absent":
      return failed("UNKNOWN_REQUEST");
    case "unavailable":
      return failed(lookup.resultName, RETRY_SOON);
  }
}

/** Implements `GET` and `DELETE` of `/v1/requests/{requestId}`. */
export class RequestLookup {
  readonly #options: RequestLookupOptions;

  private constructor(options: RequestLookupOptions) {
    this.#options = options;
  }

  static create(options: RequestLookupOptions): RequestLookup {
    return new RequestLookup(options);
  }

  /** If the job has not ended, waits for its end up to the time in the caller's `Prefer` header. */
  async get(
    organisation: OrganisationName,
    requestId: RequestId,
    wait: WaitPreference,
  ): Promise<RequestOutcome> {
    const { jobs, records, waits } = this.#options;
    const found = await records.find(organisation, requestId);
    if (found.kind === "found" && found.row.kind === "call") {
      return await replayCall(records, found.row);
    }
    if (found.kind === "absent") {
      return this.#isInProgress(organisation, requestId)
        ? failed("ATTEMPT_UNSETTLED", RETRY_SOON)
        : failed("UNKNOWN_REQUEST");
    }
    const waited = (wait.waitMs ?? 0) > 0
      ? await waits.waitForEnd({ organisation, requestId, wait })
      : undefined;
    return toOutcome(waited ?? await jobs.get(organisation, requestId));
  }

  async cancel(
    organisation: OrganisationName,
    requestId: RequestId,
  ): Promise<RequestOutcome> {
    const { jobs, records, calls } = this.#options;
    const call = calls.get(organisation, requestId);
    if (call !== undefined) {
      call.cancel();
      return failed("ATTEMPT_UNSETTLED", RETRY_SOON);
    }
    const found = await records.find(organisation, requestId);
    if (found.kind === "found" && found.row.kind === "call") {
      return await replayCall(records, found.row);
    }
    if (found.kind === "absent") return failed("UNKNOWN_REQUEST");
    return toOutcome(await jobs.cancel(organisation, requestId));
  }

  #isInProgress(
    organisation: OrganisationName,
    requestId: RequestId,
  ): boolean {
    return this.#options.calls.get(organisation, requestId) !== undefined;
  }
}
