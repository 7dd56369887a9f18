/** Decodes rows of the copy of the state table; reports those that cannot be decoded. */
import type { CellJobId, CellJobSpec } from "@coltsfootpond/policy";
import type { StateRow } from "@coltsfootpond/ports";
import type {
  BegunJobsRow,
  JobRow,
  LeaseRow,
  PeerRow,
  ProgressRow,
  RefusalRow,
} from "../rows.ts";
import {
  decodeBegunJobsRow,
  decodeLeaseRow,
  decodePeerRow,
} from "./cell_rows.ts";
import { decodeJobRow, decodeRefusalRow } from "./job_row.ts";
import { decodeProgressRow } from "./progress_row.ts";
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

export function readProgressRow(
  { unreadable }: RowSource,
  spec: CellJobSpec,
  stored: StateRow | undefined,
): ProgressReading {
  if (stored?.value === undefined) return { kind: "none" };
  const row = decodeProgressRow(stored.value, spec);
  if (row !== undefined) return { kind: "progress", row };
  unreadable.report("progress", stored);
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
