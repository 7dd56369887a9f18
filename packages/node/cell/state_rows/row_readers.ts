/** Decodes rows of the copy of the state table; reports those that cannot be decoded. */
import type { CellJobId, CellJobSpec } from "@coltsfootpond/policy";
import type { StateRow } from "@coltsfootpond/ports";
import {
  type BegunJobsRow,
  type JobRow,
  type LeaseRow,
  type PeerRow,
  progressPartKey,
  type ProgressRow,
  type RefusalRow,
} from "../rows.ts";
import {
  decodeBegunJobsRow,
  decodeLeaseRow,
  decodePeerRow,
} from "./cell_rows.ts";
import { decodeJobRow, decodeRefusalRow } from "./job_row.ts";
import { decodeProgressRow, joinProgress } from "./progress_row.ts";
import type {
  StateRowKind,
  UnreadableRow,
  UnreadableRows,
} from "./unreadable_rows.ts";

const UNREADABLE: UnreadableRow = { kind: "unreadable" };

/** The copy that the rows are from. */
export interface RowSource {
  readonly unreadable: UnreadableRows;
}

/** Undefined for a job without a row. */
export function readJobRow(
  { unreadable }: RowSource,
  jobId: CellJobId,
  row: StateRow | undefined,
): JobRow | UnreadableRow | undefined {
  if (row?.value === undefined) return undefined;
  const job = decodeJobRow(jobId, row.value);
  if (job !== undefined) return job;
  unreadable.report("job", row);
  return UNREADABLE;
}

/** `none`: no progress is stored. */
export type ProgressReading =
  | { readonly kind: "progress"; readonly row: ProgressRow }
  | { readonly kind: "none" }
  | UnreadableRow;

/** The copy, in which the further rows are looked up. */
export interface ProgressSource extends RowSource {
  readonly get: (key: string) => StateRow | undefined;
}

export function readProgressRow(
  source: ProgressSource,
  spec: CellJobSpec,
  stored: StateRow | undefined,
): ProgressReading {
  if (stored?.value === undefined) return { kind: "none" };
  const value = joinProgress(
    stored.value,
    (part) => source.get(progressPartKey(spec.jobId, part))?.value,
  );
  const row = value && decodeProgressRow(value, spec);
  if (row !== undefined) return { kind: "progress", row };
  source.unreadable.report("progress", stored);
  return UNREADABLE;
}

/** Undefined for a row that does not exist or cannot be decoded. */
export function readRefusalRow(
  source: RowSource,
  row: StateRow | undefined,
): RefusalRow | undefined {
  return readRow(source, "refusal", row, decodeRefusalRow);
}

/** Undefined for a row that does not exist or cannot be decoded. */
export function readLeaseRow(
  source: RowSource,
  row: StateRow | undefined,
): LeaseRow | undefined {
  return readRow(source, "lease", row, decodeLeaseRow);
}

/** Undefined for a row that does not exist or cannot be decoded. */
export function readPeerRow(
  source: RowSource,
  row: StateRow | undefined,
): PeerRow | undefined {
  return readRow(source, "peer", row, decodePeerRow);
}

/** Undefined for a row that does not exist or cannot be decoded. */
export function readBegunJobsRow(
  source: RowSource,
  row: StateRow | undefined,
): BegunJobsRow | undefined {
  return readRow(source, "begun", row, decodeBegunJobsRow);
}

function readRow<Row>(
  { unreadable }: RowSource,
  kind: StateRowKind,
  row: StateRow | undefined,
  decode: (value: Uint8Array) => Row | undefined,
): Row | undefined {
  if (row?.value === undefined) return undefined;
  const decoded = decode(row.value);
  if (decoded === undefined) unreadable.report(kind, row);
  return decoded;
}
