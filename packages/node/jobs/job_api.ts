/**
 * The callers' side of jobs: submit, look up, cancel and wait, on any entry. The rows in the table
 * service are authoritative; notices to the owner only shorten the delay until it reads them.
 */
import {
  type FailureDomainName,
  type JobId,
  type JobServiceDeclaration,
  type OrganisationName,
  type RequestId,
} from "@coltsfootpond/common";
import type { TablePort } from "@coltsfootpond/ports";
import type { WaitReason } from "@coltsfootpond/policy";
import type { Observable } from "rxjs";
import {
  getJobKey,
  getRequestKey,
  type JobEnd,
  type JobRow,
  type RequestRow,
} from "../rows.ts";
import type {
  ConfigurationView,
  EntryContext,
  JobLookup,
  JobOperations,
  JobStatus,
  JobSubmission,
  JobSubmitOutcome,
} from "../types.ts";
import { createEndSignal } from "./end_signal.ts";
import {
  createJobId,
  createJobRow,
  isContentWhole,
  isEnded,
} from "./job_identity.ts";
import {
  endJob,
  insertJob,
  readJob,
  readRequest,
  type StoredJob,
} from "./job_rows.ts";

const OBJECT_TIMEOUT_MS = 2_000;
const RETRY_AFTER_MS = 2_000;
/** While a caller waits, the job's row is read again this often, in case a message was lost. */
const WAIT_RECHECK_MS = 5_000;

/** A request to the owner of a failure domain to read the row of a job. */
export interface JobNotice {
  readonly kind: "submitted" | "cancelled";
  readonly failureDomain: FailureDomainName;
  readonly jobId: JobId;
}

/** Chooses the failure domain in whose queue a new job waits. */
export type ChooseFailureDomain = (
  service: JobServiceDeclaration,
  row: JobRow,
) => FailureDomainChoice;

export type FailureDomainChoice =
  /** The job waits in this failure domain. */
  | { readonly kind: "chosen"; readonly failureDomain: FailureDomainName }
  /** No failure domain can take the job now. */
  | { readonly kind: "none" }
  /** The shape fits nowhere in the deployment. */
  | { readonly kind: "never_fits"; readonly detail: string };

export interface JobApiOptions {
  readonly context: EntryContext;
  readonly table: TablePort;
  readonly configuration: ConfigurationView;
  readonly chooseFailureDomain: ChooseFailureDomain;
  readonly notify: (notice: JobNotice) => void;
  /** Why a job waits; undefined when another entry owns its failure domain. */
  readonly getWaitReason: (
    failureDomain: FailureDomainName,
    jobId: JobId,
  ) => WaitReason | undefined;
  /** Ids of jobs that ended on any entry; lacks those whose owner's message was lost. */
  readonly endedJobs: Observable<JobId>;
}

/** Implements the operations that the request filters offer to callers. */
export class JobApi implements JobOperations {
  readonly #options: JobApiOptions;

  private constructor(options: JobApiOptions) {
    this.#options = options;
  }

  static create(options: JobApiOptions): JobApi {
    return new JobApi(options);
  }

  async submit(submission: JobSubmission): Promise<JobSubmitOutcome> {
    const service = this.#findService(submission);
    if (service === undefined) {
      return { kind: "refused", resultName: "UNKNOWN_SERVICE" };
    }
    const row = createJobRow(submission);
    const choice = this.#options.chooseFailureDomain(service, row);
    if (choice.kind === "never_fits") {
      return {
        kind: "refused",
        resultName: "SHAPE_NEVER_FITS",
        detail: choice.detail,
      };
    }
    if (choice.kind === "none") {
      return {
        kind: "refused",
        resultName: "NO_OWNER",
        retryAfterMs: RETRY_AFTER_MS,
      };
    }
    const { failureDomain } = choice;
    const outcome = await insertJob(this.#options.table, failureDomain, row);
    switch (outcome.kind) {
      case "inserted":
        this.#options.notify({
          kind: "submitted",
          failureDomain,
          jobId: row.jobId,
        });
        this.#emit("job.accepted", submission, failureDomain);
        return { kind: "accepted", jobId: row.jobId, failureDomain };
      case "exists":
        return this.#resubmit(submission, row.jobId, outcome.request);
      case "unavailable":
        return {
          kind: "refused",
          resultName: outcome.mayExist
            ? "TABLE_UNSETTLED"
            : "TABLE_UNAVAILABLE",
          retryAfterMs: RETRY_AFTER_MS,
        };
    }
  }

  async get(
    organisation: OrganisationName,
    requestId: RequestId,
  ): Promise<JobLookup> {
    const request = await readRequest(
      this.#options.table,
      getRequestKey(organisation, requestId),
    );
    if (request === "unavailable") {
      return { kind: "unavailable", resultName: "TABLE_UNAVAILABLE" };
    }
    if (request === undefined || request.kind !== "job") {
      return { kind: "absent" };
    }
    const jobId = createJobId(organisation, requestId);
    const { failureDomain, end } = request;
    if (end !== undefined) {
      return await this.#lookUpEnd(jobId, failureDomain, end);
    }
    const stored = await readJob(
      this.#options.table,
      getJobKey(failureDomain, jobId),
    );
    if (stored === "unavailable") {
      return { kind: "unavailable", resultName: "TABLE_UNAVAILABLE" };
    }
    if (stored?.row.state === "queued") {
      this.#options.notify({ kind: "submitted", failureDomain, jobId });
    }
    const state = stored?.row.state ?? "queued";
    const waitReason = this.#options.getWaitReason(failureDomain, jobId);
    const status: JobStatus = { jobId, state, failureDomain, waitReason };
    return { kind: "found", status };
  }

  /** A cancel and an answer may race; the compare-and-set of the job's row lets one of them win. */
  async cancel(
    organisation: OrganisationName,
    requestId: RequestId,
  ): Promise<JobLookup> {
    const { table } = this.#options;
    const request = await readRequest(
      table,
      getRequestKey(organisation, requestId),
    );
    if (request === "unavailable") {
      return { kind: "unavailable", resultName: "TABLE_UNAVAILABLE" };
    }
    if (request === undefined || request.kind !== "job") {
      return { kind: "absent" };
    }
    const jobId = createJobId(organisation, requestId);
    const { failureDomain } = request;
    if (request.end !== undefined) {
      return await this.#lookUpEnd(jobId, failureDomain, request.end);
    }
    let stored = await readJob(table, getJobKey(failureDomain, jobId));
    while (stored !== undefined && stored !== "unavailable") {
      const next = await this.#tryCancel(failureDomain, stored);
      if (next === "done") break;
      stored = next;
    }
    if (stored === "unavailable") {
      return { kind: "unavailable", resultName: "TABLE_UNSETTLED" };
    }
    return await this.get(organisation, requestId);
  }

  /** Resolves when the job has ended or `timeoutMs` has passed, whichever is first. */
  async waitForEnd(
    organisation: OrganisationName,
    requestId: RequestId,
    timeoutMs: number,
  ): Promise<JobLookup> {
    const { clock } = this.#options.context;
    const jobId = createJobId(organisation, requestId);
    const deadlineMs = clock.nowMs() + timeoutMs;
    for (;;) {
      const signal = createEndSignal(this.#options, jobId);
      const lookup = await this.get(organisation, requestId);
      const remainingMs = deadlineMs - clock.nowMs();
      const isOver = lookup.kind === "absent" ||
        (lookup.kind === "found" && isEnded(lookup.status));
      if (isOver || remainingMs <= 0) {
        signal.cancel();
        return lookup;
      }
      await signal.wait(Math.min(remainingMs, WAIT_RECHECK_MS));
    }
  }

  #findService(submission: JobSubmission): JobServiceDeclaration | undefined {
    const services =
      this.#options.configuration.current()?.declarations.services ?? [];
    const service = services.find((candidate) =>
      candidate.name === submission.service
    );
    return service?.kind === "job" ? service : undefined;
  }

  #resubmit(
    submission: JobSubmission,
    jobId: JobId,
    request: RequestRow,
  ): JobSubmitOutcome {
    if (
      request.kind !== "job" || request.bodyDigest !== submission.bodyDigest
    ) {
      return { kind: "refused", resultName: "REQUEST_ID_CONFLICT" };
    }
    return { kind: "accepted", jobId, failureDomain: request.failureDomain };
  }

  async #tryCancel(
    failureDomain: FailureDomainName,
    stored: StoredJob,
  ): Promise<StoredJob | undefined | "unavailable" | "done"> {
    const end: JobEnd = { state: "cancelled", resultName: "JOB_CANCELLED" };
    const outcome = await endJob(
      this.#options.table,
      failureDomain,
      stored,
      end,
    );
    if (outcome.kind === "unavailable") return "unavailable";
    if (outcome.kind === "conflict") return outcome.current;
    this.#options.notify({
      kind: "cancelled",
      failureDomain,
      jobId: stored.row.jobId,
    });
    return "done";
  }

  async #lookUpEnd(
    jobId: JobId,
    failureDomain: FailureDomainName,
    end: JobEnd,
  ): Promise<JobLookup> {
    const { state, resultName } = end;
    const status: JobStatus = { jobId, state, failureDomain, resultName };
    if (end.answer === undefined) return { kind: "found", status };
    const { objects } = this.#options.context.platform;
    const outcome = await objects.get(end.answer.objectKey, {
      timeoutMs: OBJECT_TIMEOUT_MS,
    });
    const isWhole = outcome.kind === "found" &&
      isContentWhole(outcome.content, end);
    if (!isWhole) {
      return { kind: "unavailable", resultName: "OBJECTS_UNAVAILABLE" };
    }
    return { kind: "found", status: { ...status, answer: outcome.content } };
  }

  #emit(
    event: string,
    submission: JobSubmission,
    failureDomain: FailureDomainName,
  ): void {
    const { organisation, requestId, service } = submission;
    this.#options.context.events.emit(event, {
      organisation,
      requestId,
      service,
      failureDomain,
    });
  }
}
