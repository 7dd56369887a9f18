/** Which failure domain a holder hands to a better preferred member. */
import type {
  EntryName,
  FailureDomainDeclaration,
} from "@coltsfootpond/common";
import { OWNERSHIP_REBALANCE_DELAY_MS } from "../constants.ts";
import type { PeerHeartbeat } from "../membership/peer_heartbeats.ts";

export interface HandoverInput {
  /** Failure domains that this entry holds. */
  readonly held: readonly FailureDomainDeclaration[];
  readonly getPreferred: (
    declared: FailureDomainDeclaration,
  ) => EntryName | undefined;
  readonly getPeer: (entry: EntryName) => PeerHeartbeat | undefined;
  readonly nowMs: number;
}

/** The first one whose preferred entry is a peer that has been there for long enough. */
export function chooseHandover(
  input: HandoverInput,
): FailureDomainDeclaration | undefined {
  return input.held.find((declared) => {
    const preferred = input.getPreferred(declared);
    const peer = preferred === undefined ? undefined : input.getPeer(preferred);
    return peer !== undefined && peer.tableReachable &&
      input.nowMs - peer.connectedSinceMs >= OWNERSHIP_REBALANCE_DELAY_MS;
  });
}
