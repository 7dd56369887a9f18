/** Pure decisions on whether a failure domain is in or out. */
import { FAILURE_DOMAIN_STATE, type FailureDomainRow } from "../rows.ts";

/** What an entry holds to be so. Provisional: in force in memory, not yet in the table service. */
export interface FailureDomainRecord extends FailureDomainRow {
  readonly provisional: boolean;
}

/** The fact of a failure domain that no operator has ever changed. */
export const INITIAL_RECORD: FailureDomainRecord = {
  state: FAILURE_DOMAIN_STATE.IN,
  version: 0,
  provisional: false,
};

/**
 * The fact that stands after hearing another. A higher version stands; of two with one version,
 * the restrictive one, then the durable one. Commutative and idempotent, so late, crossed and
 * repeated messages undo nothing.
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
 * The fact that an operator's out puts in force: always above what is known, even when the failure
 * domain is out already. Its write then fences off an in that was sent before and is still under
 * way.
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
 * Digest (FNV-1a) of facts, for telling cheaply whether two entries hold the same ones. A failure
 * domain that no operator has changed counts the same as one that is not known.
 */
export function computeRecordsDigest(
  facts: readonly {
    readonly name: string;
    readonly fact: FailureDomainRecord;
  }[],
): number {
  const text = facts.filter(({ fact }) => fact.version > 0)
    .map(({ name, fact }) => `${name} ${fact.state} ${fact.version}\n`)
    .sort()
    .join("");
  let digest = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    digest = Math.imul(digest ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return digest;
}

/** The row that makes a provisional fact durable; undefined when there is nothing to write. */
export function decideDurableRow(
  fact: FailureDomainRecord,
  row: FailureDomainRow | undefined,
): FailureDomainRow | undefined {
  if (!fact.provisional) return undefined;
  const rowVersion = row?.version ?? 0;
  if (rowVersion > fact.version) return undefined;
  if (rowVersion === fact.version && row?.state === fact.state) {
    return undefined;
  }
  const version = rowVersion === fact.version ? fact.version + 1 : fact.version;
  return { state: fact.state, version };
}
