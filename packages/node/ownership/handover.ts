/** Chooses a failure domain that its owner hands over to a member that ranks before it. */
import type {
  EntryName,
  FailureDomainDeclaration,
} from "@coltsfootpond/common";
import { OWNERSHIP_REBALANCE_DELAY_MS } from "../constants.ts";
import type { PeerHeartbeat } from "../membership/peer_heartbeats.ts";

export interface HandoverInput {
  /** Failure domains that this entry owns. */
  readonly owned: readonly FailureDomainDeclaration[];
  /** The member that ranks first for the failure domain. */
  readonly getPreferred: (
    declared: FailureDomainDeclaration,
  ) => EntryName | undefined;
  readonly getPeer: (entry: EntryName) => PeerHeartbeat | undefined;
  readonly nowMs: number;
}

/**
 * The first failure domain whose best candidate is a peer that reaches the table and has been
 * connected for `OWNERSHIP_REBALANCE_DELAY_MS`.
 */
export function chooseHandover(
  input: HandoverInput,
): FailureDomainDeclaration | undefined {
  return input.owned.find((declared) => {
    const preferred = input.getPreferred(declared);
    const peer = preferred === undefined ? undefined : input.getPeer(preferred);
    return peer !== undefined && peer.tableReachable &&
      input.nowMs - peer.connectedSinceMs >= OWNERSHIP_REBALANCE_DELAY_MS;
  });
}
