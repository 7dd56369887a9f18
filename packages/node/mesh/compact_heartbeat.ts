/** Codec of the heartbeat: an array of fixed positions instead of a map. */
import { brandId, type FailureDomainName } from "@coltsfootpond/common";
import type { MeshMessage, ReportedOwnedDomain } from "./messages.ts";

type Heartbeat = Extract<MeshMessage, { readonly kind: "heartbeat" }>;

const FLAG = { TABLE_REACHABLE: 1, LEAVING: 2, SETTLED: 4 } as const;
const POSITIONS = 7;
const FLAGS_POSITION = 3;

/**
 * `[sequence, configuration version, its age in ms, flags, members version, digest of the failure
 * domain records, [[failure domain, epoch], ...]]`
 */
export function encodeHeartbeat(heartbeat: Heartbeat): readonly unknown[] {
  const { tableReachable, leaving, settled, holdings } = heartbeat;
  const flags = (tableReachable ? FLAG.TABLE_REACHABLE : 0) |
    (leaving ? FLAG.LEAVING : 0) | (settled ? FLAG.SETTLED : 0);
  return [
    heartbeat.sequence,
    heartbeat.configurationVersion,
    Math.ceil(heartbeat.configurationAgeMs),
    flags,
    heartbeat.membersVersion,
    heartbeat.factsDigest,
    holdings.map(({ failureDomain, epoch }) => [failureDomain, epoch]),
  ];
}

/** Throws on anything that `encodeHeartbeat` does not produce. */
export function decodeHeartbeat(content: readonly unknown[]): Heartbeat {
  const [sequence, configurationVersion, configurationAgeMs] = content;
  const [flags, membersVersion, factsDigest, holdings] = content.slice(
    FLAGS_POSITION,
  );
  const isValid = content.length === POSITIONS &&
    isCount(sequence) && isCount(configurationVersion) &&
    isCount(configurationAgeMs) && isCount(flags) && isCount(membersVersion) &&
    isCount(factsDigest) &&
    Array.isArray(holdings);
  if (!isValid) throw new Error("frame is not a compact heartbeat");
  return {
    kind: "heartbeat",
    sequence,
    configurationVersion,
    configurationAgeMs,
    tableReachable: (flags & FLAG.TABLE_REACHABLE) !== 0,
    leaving: (flags & FLAG.LEAVING) !== 0,
    settled: (flags & FLAG.SETTLED) !== 0,
    membersVersion,
    factsDigest,
    holdings: holdings.map(parseOwnedDomain),
  };
}

function parseOwnedDomain(content: unknown): ReportedOwnedDomain {
  const [name, epoch] = Array.isArray(content) ? content : [];
  if (typeof name !== "string" || !isCount(epoch)) {
    throw new Error("frame is not a compact heartbeat");
  }
  return { failureDomain: brandId<FailureDomainName>(name), epoch };
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}
