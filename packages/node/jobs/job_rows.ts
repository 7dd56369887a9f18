/**
 * Reads job and request rows, and changes them by compare-and-set. Each change is one transaction
 * of the table service.
 */
import {
  brandId,
  createUniqueId,
  type FailureDomainName,
  type WriteId,
} from "@coltsfootpond/common";
import type {
  RowCondition,
  RowWrite,
  TablePort,
  TableRow,
  TableTransaction,
} from "@coltsfootpond/ports";
import {
  getJobKey,
  getJobPrefix,
  getRequestKey,
  type JobEnd,
  type JobRow,
  type RequestRow,
} from "../rows.ts";

const TABLE_TIMEOUT_MS = 2_000;

/** A job row together with its version in the table. */
export interface StoredJob {
  readonly row: JobRow;
  readonly version: number;
}

export type InsertOutcome =
  | { readonly kind: "inserted"; readonly stored: StoredJob }
  /** An earlier request has the same id; `request` is its row. */
  | { readonly kind: "exists"; readonly request: RequestRow }
  /** `mayExist`: the rows may have been written, as the outcome of the transaction is unknown. */
  | { readonly kind: "unavailable"; readonly mayExist: boolean };

export type TransitionOutcome =
  /** `stored` is undefined when the transition has deleted the row. */
  | { readonly kind: "done"; readonly stored: StoredJob | undefined }
  /** The row's version had changed; `current` is undefined when the job has ended or moved. */
  | { readonly kind: "conflict"; readonly current: StoredJob | undefined }
  | { readonly kind: "unavailable" };

function createTransaction(
  conditions: readonly RowCondition[],
  writes: readonly RowWrite[],
): TableTransaction {
  return { writeId: brandId<WriteId>(createUniqueId()), conditions, writes };
}

function toStoredJob(row: TableRow): StoredJob {
  return { row: row.value as unknown as JobRow, version: row.version };
}

function createPut(key: string, value: JobRow | RequestRow): RowWrite {
  return { kind: "put", key, value: JSON.parse(JSON.stringify(value)) };
}

/** Inserts the request's row and the job's row together. */
export async function insertJob(
  table: TablePort,
  failureDomain: FailureDomainName,
  job: JobRow,
): Promise<InsertOutcome> {
  const requestKey = getRequestKey(job.organisation, job.requestId);
  const jobKey = getJobKey(failureDomain, job.jobId);
  const request: RequestRow = {
    kind: "job",
    service: job.service,
    bodyDigest: job.bodyDigest,
    failureDomain,
  };
  const transaction = createTransaction([{ kind: "absent", key: requestKey }], [
    createPut(requestKey, request),
    createPut(jobKey, job),
  ]);
  const outcome = await table.transact(transaction, {
    timeoutMs: TABLE_TIMEOUT_MS,
  });
  if (outcome.kind === "unavailable") {
    return { kind: "unavailable", mayExist: outcome.effect === "lost" };
  }
  if (outcome.kind === "committed") {
    const stored = outcome.rows.find((row) => row.key === jobKey);
    return {
      kind: "inserted",
      stored: { row: job, version: stored?.version ?? 1 },
    };
  }
  const existing = outcome.rows.find((row) => row.key === requestKey);
  if (existing === undefined) return { kind: "unavailable", mayExist: true };
  return { kind: "exists", request: existing.value as unknown as RequestRow };
}

/** Replaces the job's row if it still has the version of `stored`. */
export function replaceJob(
  table: TablePort,
  failureDomain: FailureDomainName,
  stored: StoredJob,
  next: JobRow,
): Promise<TransitionOutcome> {
  const key = getJobKey(failureDomain, next.jobId);
  return transition(table, key, stored.version, [createPut(key, next)], next);
}

/** Ends the job: deletes its row and records the end in the request's row. */
export function endJob(
  table: TablePort,
  failureDomain: FailureDomainName,
  stored: StoredJob,
  end: JobEnd,
): Promise<TransitionOutcome> {
  const { row, version } = stored;
  const key = getJobKey(failureDomain, row.jobId);
  const { service, bodyDigest } = row;
  const request: RequestRow = {
    kind: "job",
    service,
    bodyDigest,
    failureDomain,
    end,
  };
  const writes: readonly RowWrite[] = [
    { kind: "delete", key },
    createPut(getRequestKey(row.organisation, row.requestId), request),
  ];
  return transition(table, key, version, writes, undefined);
}

/** Moves a waiting job from one failure domain's queue to another's. */
export function moveJob(
  table: TablePort,
  from: FailureDomainName,
  to: FailureDomainName,
  stored: StoredJob,
): Promise<TransitionOutcome> {
  const { version } = stored;
  const row: JobRow = { ...stored.row, moves: stored.row.moves + 1 };
  const key = getJobKey(from, row.jobId);
  const request: RequestRow = {
    kind: "job",
    service: row.service,
    bodyDigest: row.bodyDigest,
    failureDomain: to,
  };
  const writes: readonly RowWrite[] = [
    { kind: "delete", key },
    createPut(getJobKey(to, row.jobId), row),
    createPut(getRequestKey(row.organisation, row.requestId), request),
  ];
  return transition(table, key, version, writes, undefined);
}

async function transition(
  table: TablePort,
  key: string,
  version: number,
  writes: readonly RowWrite[],
  next: JobRow | undefined,
): Promise<TransitionOutcome> {
  const transaction = createTransaction(
    [{ kind: "version", key, version }],
    writes,
  );
  const outcome = await table.transact(transaction, {
    timeoutMs: TABLE_TIMEOUT_MS,
  });
  if (outcome.kind === "unavailable") return { kind: "unavailable" };
  const written = outcome.rows.find((row) => row.key === key);
  if (outcome.kind === "conflict") {
    return {
      kind: "conflict",
      current: written === undefined ? undefined : toStoredJob(written),
    };
  }
  if (next === undefined) return { kind: "done", stored: undefined };
  return {
    kind: "done",
    stored: { row: next, version: written?.version ?? version + 1 },
  };
}

/** One job's row; undefined when the job has ended or is in another failure domain. */
export async function readJob(
  table: TablePort,
  key: string,
): Promise<StoredJob | undefined | "unavailable"> {
  const outcome = await table.read([key], { timeoutMs: TABLE_TIMEOUT_MS });
  if (outcome.kind === "unavailable") return "unavailable";
  const row = outcome.rows[0];
  return row === undefined ? undefined : toStoredJob(row);
}

/** All jobs of a failure domain that have not ended. */
export async function scanJobs(
  table: TablePort,
  failureDomain: FailureDomainName,
): Promise<readonly StoredJob[] | "unavailable"> {
  const outcome = await table.scan(getJobPrefix(failureDomain), {
    timeoutMs: TABLE_TIMEOUT_MS,
  });
  if (outcome.kind === "unavailable") return "unavailable";
  return outcome.rows.map(toStoredJob);
}

/** One request's row; undefined when no request has that key. */
export async function readRequest(
  table: TablePort,
  key: string,
): Promise<RequestRow | undefined | "unavailable"> {
  const outcome = await table.read([key], { timeoutMs: TABLE_TIMEOUT_MS });
  if (outcome.kind === "unavailable") return "unavailable";
  return outcome.rows[0]?.value as unknown as RequestRow | undefined;
}
