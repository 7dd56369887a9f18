/** Rows of the cell's state table: keys, values and their encoding (msgpack). */
import type { OrganisationName, WorkerName } from "@coltsfootpond/common";
import type {
  CellJobId,
  CellJobSpec,
  JobState,
  ProgressRecord,
  QueueName,
} from "@coltsfootpond/policy";
import { pack, unpack } from "msgpackr";

export type EndedState = Extract<
  JobState,
  "completed" | "failed" | "cancelled"
>;

/** A job's row. It stays after the job's end for as long as its state must be known. */
export type JobRow =
  | { readonly kind: "live"; readonly spec: CellJobSpec }
  | {
    readonly kind: "ended";
    readonly state: EndedState;
    readonly queue: QueueName;
    readonly organisation: OrganisationName | undefined;
    readonly endedUnixMs: number;
  }
  /** Cancelled before it was submitted: a submit that comes later starts nothing. */
  | { readonly kind: "barred"; readonly endedUnixMs: number };

/** Progress of a live job. */
export interface ProgressRow {
  /** Names the write, so that a write whose answer was lost is recognised. */
  readonly writeId: string;
  readonly record: ProgressRecord;
  /** Runs that may be at work; stored before their starts are sent. */
  readonly placements: readonly PlacementRecord[];
}

/** A unit's run: `{occurrence}.{step}.{index}`, and the worker of each member. */
export type PlacementRecord = readonly [
  unit: string,
  run: number,
  workers: readonly WorkerName[],
];

/** Who schedules the cell. */
export interface LeaseRow {
  readonly holder: string;
  readonly incarnation: string;
  /** Rises with every change of holder; workers refuse orders of a lower one. */
  readonly epoch: number;
  /** Rises with every renewal. */
  readonly beat: number;
  /** Handed over: anyone may take it at once. */
  readonly isReleased: boolean;
  /** When a holder last handed the lease over to a larger entry; 0 for never. */
  readonly handedOverUnixMs: number;
}

/** Workers on which tasks may run; a new holder asks all of them before it starts anything. */
export interface RosterRow {
  readonly workers: readonly (readonly [worker: string, address: string])[];
}

/** Jobs of which some task has begun, as far as they have not ended. */
export interface BegunJobsRow {
  readonly jobIds: readonly CellJobId[];
}

/** Where an entry takes requests of its peers, and how much processor it has. */
export interface PeerRow {
  readonly host: string;
  readonly port: number;
  /** In cores of the reference speed. */
  readonly processorShare: number;
}

/**
 * The part of a key before its slash names its group: rows of one group are changed one
 * transaction after another, those of several groups side by side.
 */
const PROGRESS_PREFIX = "progress/";
const PEER_PREFIX = "peers/";
export const LEASE_KEY = "lease/holder";
export const ROSTER_KEY = "cell/roster";
export const BEGUN_KEY = "cell/begun";
/** Jobs are spread over 16 groups by the first digit of their id. */
const JOB_KEY_PATTERN = /^jobs-[0-9a-f]\/(.+)$/;

export function jobKey(jobId: CellJobId): string {
  return `jobs-${jobId.charAt(0).toLowerCase()}/${jobId}`;
}

/** All groups of jobs' rows. */
export const JOB_GROUPS: readonly string[] = [..."0123456789abcdef"].map(
  (digit) => `jobs-${digit}`,
);

/** The group of a job's row; undefined for other rows. */
export function jobGroup(key: string): string | undefined {
  return parseJobKey(key) === undefined ? undefined : key.split("/", 1)[0];
}

export function progressKey(jobId: CellJobId): string {
  return `${PROGRESS_PREFIX}${jobId}`;
}

export function peerKey(entry: string): string {
  return `${PEER_PREFIX}${entry}`;
}

/** The job of a job's row; undefined for other rows. */
export function parseJobKey(key: string): CellJobId | undefined {
  return JOB_KEY_PATTERN.exec(key)?.[1] as CellJobId | undefined;
}

export function isPeerKey(key: string): boolean {
  return key.startsWith(PEER_PREFIX);
}

/** Encodes any row's value. */
export function encodeRow(
  row: JobRow | ProgressRow | LeaseRow | RosterRow | BegunJobsRow | PeerRow,
): Uint8Array {
  return pack(row);
}

/** Decodes a value that this system wrote. Throws on bytes that are no msgpack. */
export function decodeRow<Row>(value: Uint8Array): Row {
  return unpack(value) as Row;
}
