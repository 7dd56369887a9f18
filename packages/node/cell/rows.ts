/** Rows of the cell's state table: keys, values and their encoding (msgpack). */
import type { WorkerName } from "@coltsfootpond/common";
import type {
  CellJobId,
  CellJobSpec,
  FailureReason,
  JobOrigin,
  JobState,
  LoadForecast,
  ProgressRecord,
} from "@coltsfootpond/policy";
import { pack, unpack } from "msgpackr";
import type { CompactProgress } from "./state_rows/compact_progress.ts";

export type EndedState = Extract<
  JobState,
  "completed" | "failed" | "cancelled"
>;

export interface EndedJobRow extends JobOrigin {
  readonly kind: "ended";
  readonly state: EndedState;
  /** Of a failed job; rows of earlier versions have none. */
  readonly reason?: FailureReason;
  readonly endedUnixMs: number;
}

/** A job's row. It stays after the job's end as long as callers may ask for its state. */
export type JobRow =
  | { readonly kind: "live"; readonly spec: CellJobSpec }
  | EndedJobRow
  | BarredJobRow;

/** Cancelled before it was submitted: a later submit does not run it. */
export interface BarredJobRow {
  readonly kind: "barred";
  readonly endedUnixMs: number;
  /** Of the call that cancelled it; missing in rows of earlier versions. */
  readonly origin?: JobOrigin;
}

/**
 * Marks that submissions of the job were refused for lack of capacity. Each submission is stored on
 * the condition that this row has not changed, so one that is still under way at a refusal fails.
 */
export interface RefusalRow {
  readonly kind: "refused";
  /** When it was refused; named as in the rows of ended jobs, with which it is deleted. */
  readonly endedUnixMs: number;
}

/** The load that the lease holder publishes, on which entries decide on submitted jobs. */
export interface LoadRow extends LoadForecast {
  readonly epoch: number;
  /** Renewal counter of the lease when the row was written; its age in renewals. */
  readonly beat: number;
}

/** Progress of a live job. */
export interface ProgressRow {
  /** Id of the write, by which a write whose answer was lost is recognised. */
  readonly writeId: string;
  readonly record: ProgressRecord;
  /** Runs that may be running; stored before their starts are sent. */
  readonly placements: readonly PlacementRecord[];
}

/** The same of a job whose progress is too large as a `ProgressRow`. */
export interface CompactProgressRow extends Omit<ProgressRow, "record"> {
  readonly compact: CompactProgress;
}

/** The first of several rows, of progress that is too large for one. */
export interface ProgressHeadRow {
  readonly writeId: string;
  /** Number of further rows. */
  readonly parts: number;
  /** The beginning of the encoded `ProgressRow` or `CompactProgressRow`. */
  readonly chunk: Uint8Array;
}

/** A further row. */
export interface ProgressPartRow {
  /** As in the first row. */
  readonly writeId: string;
  /** Counted from 1. */
  readonly part: number;
  readonly chunk: Uint8Array;
}

/**
 * A unit as `{occurrence}.{step}.{index}`, the number of its run, and the worker of each of its
 * tasks.
 */
export type PlacementRecord = readonly [
  unit: string,
  run: number,
  workers: readonly WorkerName[],
  /**
   * The incarnation of each worker that the starts name, 0 where it is not known; absent when none
   * is.
   */
  incarnationStartsUnixMs?: readonly number[],
];

/** The scheduler's lease. */
export interface LeaseRow {
  readonly holder: string;
  readonly incarnation: string;
  /** Increases with every change of the lease holder; workers refuse commands with a lower one. */
  readonly epoch: number;
  /** Renewal counter; increases with every renewal. */
  readonly beat: number;
  /** Handed over: any entry may acquire the lease at once. */
  readonly isReleased: boolean;
  /**
   * When a holder last handed the lease over to a larger entry, or gave it up, or was replaced after
   * its process had ended repeatedly; 0 for never.
   */
  readonly handedOverUnixMs: number;
  /** Renewal counter when the holder acquired it; rows of earlier versions have none. */
  readonly acquiredBeat?: number;
  /** Tenures of the holder before this one, in a row, that ended early with its process. */
  readonly shortTenures?: number;
  /** Tenures before this one, in a row and of any entry, in which the scheduler failed. */
  readonly failures?: number;
}

/**
 * Workers on which tasks may run. A new lease holder collects the reports of all of them before it
 * starts anything.
 */
export interface RosterRow {
  readonly workers: readonly (readonly [worker: string, address: string])[];
}

/** Live jobs of which at least one task has begun. */
export interface BegunJobsRow {
  readonly jobIds: readonly CellJobId[];
}

/** Workers whose speed differs clearly from 1. */
export interface SpeedsRow {
  /** When the lease holder last confirmed the classes. */
  readonly unixMs: number;
  /** The lowest 16 bits of the incarnation's start, and the class of its speed. */
  readonly workers: readonly (readonly [
    worker: string,
    incarnationTag: number,
    speedClass: number,
  ])[];
}

/** Address of an entry's peer server, and the entry's processor share. */
export interface PeerRow {
  readonly host: string;
  readonly port: number;
  /** In cores of the reference speed. */
  readonly processorShare: number;
}

/**
 * The part of a key before its slash is its group. Transactions on rows of one group run one after
 * another, those on different groups in parallel.
 */
const PROGRESS_PREFIX = "progress/";
/** Separates the number of a further row from the job's id. */
const PART_SEPARATOR = ".";
const PEER_PREFIX = "peers/";
export const LEASE_KEY = "lease/holder";
export const ROSTER_KEY = "cell/roster";
export const BEGUN_KEY = "cell/begun";
export const LOAD_KEY = "cell/load";
export const SPEEDS_KEY = "cell/speeds";
/** Separates the number of a row after the first from the key. */
const BEGUN_NUMBER_SEPARATOR = "-";
/** Job rows are spread over 16 groups by the first digit of the job's id. */
const JOB_KEY_PATTERN = /^jobs-[0-9a-f]\/([0-9a-f]{16})(\.refused)?$/i;
const REFUSAL_SUFFIX = ".refused";

/** Key of one of the rows that list the jobs that have begun, counted from 0. */
export function formatBegunKey(number: number): string {
  return number === 0
    ? BEGUN_KEY
    : `${BEGUN_KEY}${BEGUN_NUMBER_SEPARATOR}${number}`;
}

/** The number of a row that lists jobs that have begun; undefined for other rows. */
export function parseBegunKey(key: string): number | undefined {
  if (!key.startsWith(BEGUN_KEY)) return undefined;
  const text = key.slice(BEGUN_KEY.length + BEGUN_NUMBER_SEPARATOR.length);
  const number = Number(text);
  return formatBegunKey(number) === key ? number : undefined;
}

export function jobKey(jobId: CellJobId): string {
  return `jobs-${jobId.charAt(0).toLowerCase()}/${jobId}`;
}

/** Key of the job's refusals, in the group of the job's row, so that one transaction covers both. */
export function refusalKey(jobId: CellJobId): string {
  return `${jobKey(jobId)}${REFUSAL_SUFFIX}`;
}

/** All groups of job rows. */
export const JOB_GROUPS: readonly string[] = [..."0123456789abcdef"].map(
  (digit) => `jobs-${digit}`,
);

/** The group of a job row or of a job's refusals; undefined for other rows. */
export function jobGroup(key: string): string | undefined {
  return parseGroupKey(key) === undefined ? undefined : key.split("/", 1)[0];
}

export function progressKey(jobId: CellJobId): string {
  return `${PROGRESS_PREFIX}${jobId}`;
}

/** Key of a further row of the job's progress, counted from 1. */
export function progressPartKey(jobId: CellJobId, part: number): string {
  return `${progressKey(jobId)}${PART_SEPARATOR}${part}`;
}

/** The id of the job of a progress row, of the first or a further one; undefined for other rows. */
export function parseProgressKey(key: string): CellJobId | undefined {
  return key.startsWith(PROGRESS_PREFIX)
    ? key.slice(PROGRESS_PREFIX.length).split(PART_SEPARATOR, 1)[0] as CellJobId
    : undefined;
}

export function peerKey(entry: string): string {
  return `${PEER_PREFIX}${entry}`;
}

/** The id of the job of a job row; undefined for other rows. */
export function parseJobKey(key: string): CellJobId | undefined {
  const jobId = parseGroupKey(key);
  return jobId !== undefined && key === jobKey(jobId) ? jobId : undefined;
}

/**
 * The id of the job of a job row or of its refusals. Undefined for keys that `jobKey` and
 * `refusalKey` return for no job, among them an id in the group of another one.
 */
function parseGroupKey(key: string): CellJobId | undefined {
  const jobId = JOB_KEY_PATTERN.exec(key)?.[1] as CellJobId | undefined;
  const isCanonical = jobId !== undefined &&
    (key === jobKey(jobId) || key === refusalKey(jobId));
  return isCanonical ? jobId : undefined;
}

export function isPeerKey(key: string): boolean {
  return key.startsWith(PEER_PREFIX);
}

/** What of these fields says by what call the job was submitted. */
export function pickOrigin(
  { queue, addressTag, organisation, keyTag }: JobOrigin,
): JobOrigin {
  return {
    queue,
    ...(addressTag === undefined ? {} : { addressTag }),
    organisation,
    ...(keyTag === undefined ? {} : { keyTag }),
  };
}

/**
 * By what call the job was submitted, or cancelled before; undefined in rows of earlier versions of
 * the latter kind.
 */
export function getOrigin(row: JobRow): JobOrigin | undefined {
  switch (row.kind) {
    case "live":
      return pickOrigin(row.spec);
    case "ended":
      return pickOrigin(row);
    case "barred":
      return row.origin;
  }
}

/** Encodes the value of any row. */
export function encodeRow(
  row:
    | JobRow
    | RefusalRow
    | ProgressRow
    | CompactProgressRow
    | ProgressHeadRow
    | ProgressPartRow
    | LeaseRow
    | RosterRow
    | BegunJobsRow
    | LoadRow
    | SpeedsRow
    | PeerRow,
): Uint8Array {
  return pack(row);
}

/**
 * Decodes a value that this process has just written. Throws on bytes that are not msgpack; what is
 * read back from the store is checked by the decoders in `state_rows/`.
 */
export function decodeRow<Row>(value: Uint8Array): Row {
  return unpack(value) as Row;
}
