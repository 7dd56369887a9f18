/**
 * This entry's view of the other entries: registered members and entries that sent heartbeats. It
 * answers whether the view is complete enough to detect a cluster-wide outage, and lists candidates
 * for ownership.
 */
import type { EntryName, RegionName } from "@coltsfootpond/common";
import type { MembershipController } from "../membership/membership_controller.ts";
import type { PeerHeartbeats } from "../membership/peer_heartbeats.ts";
import type { EntryIdentity } from "../types.ts";
import type { ClusterMember } from "./cluster_wide_outage.ts";

export interface ClusterViewOptions {
  readonly identity: EntryIdentity;
  readonly membership: MembershipController;
  readonly peers: PeerHeartbeats;
  readonly computeRecordsDigest: () => number;
}

export class ClusterView {
  readonly #options: ClusterViewOptions;

  private constructor(options: ClusterViewOptions) {
    this.#options = options;
  }

  static create(options: ClusterViewOptions): ClusterView {
    return new ClusterView(options);
  }

  /**
   * Members of one region or of all regions, without this entry. Entries that have sent a heartbeat
   * since the member rows were read are included: a new entry counts before its row is read here.
   */
  list(region?: RegionName): readonly ClusterMember[] {
    const { identity, membership, peers } = this.#options;
    const entries = new Set<EntryName>();
    const inOtherRegions = new Set<EntryName>();
    for (const member of membership.list()) {
      const isInRegion = region === undefined || member.row.region === region;
      (isInRegion ? entries : inOtherRegions).add(member.entry);
    }
    for (const entry of peers.listSeenEntries()) {
      if (!inOtherRegions.has(entry)) entries.add(entry);
    }
    entries.delete(identity.entry);
    return [...entries].map((entry) => ({
      entry,
      lastHeartbeat: peers.get(entry),
    }));
  }

  /** Whether no peer has read a newer member index than this entry. */
  isMembershipNewest(): boolean {
    const { membership, peers } = this.#options;
    return peers.listRecent().every((heartbeat) =>
      heartbeat.membersVersion <= membership.membersVersion
    );
  }

  /** Whether `isMembershipNewest` holds and all peers have this entry's failure domain records. */
  isInSyncWithPeers(): boolean {
    const digest = this.#options.computeRecordsDigest();
    return this.isMembershipNewest() &&
      this.#options.peers.listRecent().every((heartbeat) =>
        heartbeat.factsDigest === digest
      );
  }

  /** Connected entries of the region that may own a failure domain, this one included. */
  listCandidates(region: RegionName): readonly EntryName[] {
    const { membership, peers } = this.#options;
    return membership.list().filter((member) =>
      member.connected && member.row.state === "live" &&
      member.row.region === region &&
      !(peers.get(member.entry)?.leaving ?? false)
    ).map(({ entry }) => entry);
  }
}
