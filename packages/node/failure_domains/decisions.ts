/** Pure decisions on whether a failure domain is in or out. */
import { FAILURE_DOMAIN_STATE, type FailureDomainRow } from "../rows.ts";

/**
 * State of one failure domain as an entry applies it. Provisional: in force in the memory of the
 * entries that received it, not yet written to the table service.
 */
export interface FailureDomainRecord extends FailureDomainRow {
  readonly provisional: boolean;
}

/** Record of a failure domain that no operator has ever changed. */
export const INITIAL_RECORD: FailureDomainRecord = {
  state: FAILURE_DOMAIN_STATE.IN,
  version: 0,
  provisional: false,
};

/**
 * Merges a received record into the current one. The higher version wins; at equal versions, out
 * wins over in, then durable over provisional. Commutative and idempotent, so delayed, reordered
 * and repeated messages undo nothing.
 */
export function mergeRecords(
  current: FailureDomainRecord,
  incoming: FailureDomainRecord,
): FailureDomainRecord {
  if (incoming.version !== current.version) {
    return incoming.version > current.version ? incoming : current;
  }
  if (incoming.state !== current.state) {
    return incoming.state === FAILURE_DOMAIN_STATE.OUT ? incoming : current;
  }
  return current.provisional ? incoming : current;
}

/**
 * Record that an operator's out puts in force. Its version is always above the known one, even when
 * the failure domain is out already, so that a concurrent write of an in conflicts with its write
 * and fails.
 */
export function decideOut(known: FailureDomainRecord): FailureDomainRecord {
  return {
    state: FAILURE_DOMAIN_STATE.OUT,
    version: known.version + 1,
    provisional: true,
  };
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * FNV-1a digest of records, 32 bits, to compare the records of two entries cheaply. A failure
 * domain that no operator has changed counts the same as one without a record.
 */
export function computeRecordsDigest(
  records: readonly {
    readonly name: string;
    readonly record: FailureDomainRecord;
  }[],
): number {
  const text = records.filter(({ record }) => record.version > 0)
    .map(({ name, record }) => `${name} ${record.state} ${record.version}\n`)
    .sort()
    .join("");
  let digest = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    digest = Math.imul(digest ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return digest;
}

/** Row that makes a provisional record durable; undefined when there is nothing to write. */
export function decideDurableRow(
  record: FailureDomainRecord,
  row: FailureDomainRow | undefined,
): FailureDomainRow | undefined {
  if (!record.provisional) return undefined;
  const rowVersion = row?.version ?? 0;
  if (rowVersion > record.version) return undefined;
  if (rowVersion === record.version && row?.state === record.state) {
    return undefined;
  }
  const version = rowVersion === record.version
    ? record.version + 1
    : record.version;
  return { state: record.state, version };
}
