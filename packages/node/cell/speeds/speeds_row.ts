/** The row of the workers' speeds: what a later lease holder starts from. */
import type { WorkerName } from "@coltsfootpond/common";
import {
  HIGHEST_CLASS,
  LOWEST_CLASS,
  USUAL_CLASS,
} from "@coltsfootpond/policy";
import { z } from "zod";
import type { SpeedsRow } from "../rows.ts";
import { unpackValue } from "../state_rows/value_checks.ts";

/** A worker that is not of the usual class. */
export interface ClassifiedWorker {
  readonly worker: WorkerName;
  readonly incarnationStartUnixMs: number;
  readonly speedClass: number;
}

/** Stored estimates that are older, or further in the future, are ignored. */
const MAXIMUM_AGE_MS = 60_000;
/** Rows of the store are limited to 64 KiB. */
const MAXIMUM_LENGTH_BYTES = 56 * 1_024;
/** Bytes of one worker besides its name, at most, and a reserve for the row itself. */
const ENTRY_LENGTH_BYTES = 8;
/**
 * Only the lowest bits of an incarnation's start are stored. Another incarnation has the same ones
 * in 1 of 65,536 cases, and then starts with a wrong estimate that its samples correct.
 */
const INCARNATION_TAGS = 65_536;

const SCHEMA = z.object({
  unixMs: z.number(),
  workers: z.array(
    z.tuple([
      z.string(),
      z.number().int(),
      z.number().int().min(LOWEST_CLASS).max(HIGHEST_CLASS),
    ]),
  ),
});

/** Whether a stored tag may belong to the incarnation. */
export function createIncarnationTag(incarnationStartUnixMs: number): number {
  return Math.trunc(incarnationStartUnixMs) % INCARNATION_TAGS;
}

/** If not all workers fit, those are left out whose speeds differ least from 1. */
export function createSpeedsRow(
  classified: readonly ClassifiedWorker[],
  unixMs: number,
): SpeedsRow {
  const sorted = classified.filter(({ speedClass }) =>
    speedClass !== USUAL_CLASS
  ).sort((left, right) =>
    Math.abs(right.speedClass) - Math.abs(left.speedClass) ||
    (left.worker < right.worker ? -1 : 1)
  );
  const workers: SpeedsRow["workers"][number][] = [];
  let lengthBytes = 0;
  for (const { worker, incarnationStartUnixMs, speedClass } of sorted) {
    lengthBytes += Buffer.byteLength(worker) + ENTRY_LENGTH_BYTES;
    if (lengthBytes > MAXIMUM_LENGTH_BYTES) break;
    const tag = createIncarnationTag(incarnationStartUnixMs);
    workers.push([worker, tag, speedClass]);
  }
  return { unixMs, workers };
}

/** Undefined if the value is not a row of this version; without workers if it is too old. */
export function readSpeedsRow(
  value: Uint8Array,
  nowUnixMs: number,
): SpeedsRow | undefined {
  const { data: row } = SCHEMA.safeParse(unpackValue(value));
  if (row === undefined) return undefined;
  const isTooOld = Math.abs(nowUnixMs - row.unixMs) > MAXIMUM_AGE_MS;
  return isTooOld ? { ...row, workers: [] } : row;
}
