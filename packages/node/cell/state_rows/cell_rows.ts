/** Decodes the single rows that all entries share, and the entries' announcements. */
import { MAXIMUM_PORT } from "@coltsfootpond/common";
import { MAXIMUM_BEAT, MAXIMUM_EPOCH } from "../constants.ts";
import type { BegunJobsRow, LeaseRow, PeerRow } from "../rows.ts";
import {
  isAmount,
  isCount,
  isFlag,
  isListOf,
  isNumber,
  isText,
  unpackFields,
} from "./value_checks.ts";

/** What can be sent in a Host header: visible ASCII characters. */
const HOST_PATTERN = /^[\x21-\x7e]+$/;
/**
 * In cores. The largest share decides which entry holds the lease; a holder that knows of a much
 * larger one hands the lease over again and again.
 */
const MAXIMUM_PROCESSOR_SHARE = 10_000;

/** Undefined for any other value, also for an epoch or a beat that cannot be counted on. */
export function decodeLeaseRow(value: Uint8Array): LeaseRow | undefined {
  const row = unpackFields(value);
  const isValid = row !== undefined && isText(row.holder) &&
    isText(row.incarnation) && isCount(row.epoch, 1) &&
    row.epoch <= MAXIMUM_EPOCH && isCount(row.beat) &&
    row.beat <= MAXIMUM_BEAT && isFlag(row.isReleased) &&
    isNumber(row.handedOverUnixMs);
  return isValid ? row as unknown as LeaseRow : undefined;
}

/** Undefined for any other value, also for an address to which nothing can be sent. */
export function decodePeerRow(value: Uint8Array): PeerRow | undefined {
  const row = unpackFields(value);
  const isValid = row !== undefined && isText(row.host) &&
    HOST_PATTERN.test(row.host) && isCount(row.port, 1) &&
    row.port <= MAXIMUM_PORT && isAmount(row.processorShare) &&
    row.processorShare <= MAXIMUM_PROCESSOR_SHARE;
  return isValid ? row as unknown as PeerRow : undefined;
}

export function decodeBegunJobsRow(
  value: Uint8Array,
): BegunJobsRow | undefined {
  const row = unpackFields(value);
  const isValid = row !== undefined && isListOf(row.jobIds, isText);
  return isValid ? row as unknown as BegunJobsRow : undefined;
}
