/**
 * The closed-world rule. While nobody reaches the table service, nothing that it referees can
 * change; so a holder may go on as long as it knows that nobody does reach it. It knows that only
 * while every registered member is in contact and promises not to reach it.
 */
import type { EntryName, FailureDomainName } from "@coltsfootpond/common";
import type { ReportedOwnedDomain } from "../mesh/messages.ts";

/** One registered member other than this entry, or a connected entry that is in no row yet. */
export interface ClusterMember {
  readonly entry: EntryName;
  /** Undefined when nothing was heard within the silence bound. */
  readonly lastHeartbeat: {
    readonly tableReachable: boolean;
    readonly configurationVersion: number;
    readonly holdings: readonly ReportedOwnedDomain[];
  } | undefined;
}

/** Whether every member is in contact and none of them reaches the table service. */
export function isOutageClusterWide(
  members: readonly ClusterMember[],
): boolean {
  return members.every((member) =>
    member.lastHeartbeat !== undefined && !member.lastHeartbeat.tableReachable
  );
}

/** Whether no member says that it holds the failure domain under an epoch as high or higher. */
export function isUncontested(
  members: readonly ClusterMember[],
  failureDomain: FailureDomainName,
  epoch: number,
): boolean {
  return members.every((member) =>
    (member.lastHeartbeat?.holdings ?? []).every((held) =>
      held.failureDomain !== failureDomain || held.epoch < epoch
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
