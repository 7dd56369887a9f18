/** Pure helpers of `JobApi`: job ids, the first row of a job and the check of stored answers. */
import { createHash } from "node:crypto";
import {
  brandId,
  type Digest,
  type JobId,
  type OrganisationName,
  type RequestId,
} from "@coltsfootpond/common";
import type { JobEnd, JobRow } from "../rows.ts";
import type { JobStatus, JobSubmission } from "../types.ts";

export function createJobId(
  organisation: OrganisationName,
  requestId: RequestId,
): JobId {
  return brandId<JobId>(`${organisation}/${requestId}`);
}

export function isEnded(status: JobStatus): boolean {
  return status.state !== "queued" && status.state !== "running" &&
    status.state !== "placing";
}

/** Whether stored content has the length and SHA-256 digest recorded in the job's end. */
export function isContentWhole(content: Uint8Array, end: JobEnd): boolean {
  const digest = brandId<Digest>(
    createHash("sha256").update(content).digest("hex"),
  );
  return content.byteLength === end.answer?.lengthBytes &&
    digest === end.answer.digest;
}

/** The row of a new job, queued and without attempts. */
export function createJobRow(submission: JobSubmission): JobRow {
  const { organisation, requestId, service, bodyDigest, payload } = submission;
  return {
    jobId: createJobId(organisation, requestId),
    organisation,
    requestId,
    service,
    bodyDigest,
    payload,
    state: "queued",
    attempts: 0,
    failures: 0,
    moves: 0,
    waitedMs: 0,
  };
}
