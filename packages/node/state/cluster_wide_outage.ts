/**
 * The rule for a cluster-wide outage of the table service. While no entry reaches the table
 * service, nothing stored there can change, so an owner may continue to act. It can establish such
 * an outage only while every member is connected and reports in its heartbeats that it does not
 * reach the table service.
 */
import type { EntryName, FailureDomainName } from "@coltsfootpond/common";
import type { ReportedOwnedDomain } from "../mesh/messages.ts";

/** A member other than this entry, or an entry that sends heartbeats but is not registered yet. */
export interface ClusterMember {
  readonly entry: EntryName;
  /** Undefined when none was received within the last `MESH_SILENCE_TIMEOUT_MS`. */
  readonly lastHeartbeat: {
    readonly tableReachable: boolean;
    readonly configurationVersion: number;
    readonly holdings: readonly ReportedOwnedDomain[];
  } | undefined;
}

/** Whether every member is connected and none of them reaches the table service. */
export function isOutageClusterWide(
  members: readonly ClusterMember[],
): boolean {
  return members.every((member) =>
    member.lastHeartbeat !== undefined && !member.lastHeartbeat.tableReachable
  );
}

/** Whether no member reports that it owns the failure domain under the same or a higher epoch. */
export function isUncontested(
  members: readonly ClusterMember[],
  failureDomain: FailureDomainName,
  epoch: number,
): boolean {
  return members.every((member) =>
    (member.lastHeartbeat?.holdings ?? []).every((owned) =>
      owned.failureDomain !== failureDomain || owned.epoch < epoch
    )
  );
}

/** Whether no member has a newer configuration in force. */
export function isNewestConfiguration(
  members: readonly ClusterMember[],
  version: number,
): boolean {
  return members.every((member) =>
    (member.lastHeartbeat?.configurationVersion ?? 0) <= version
  );
}
