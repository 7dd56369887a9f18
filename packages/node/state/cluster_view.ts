/** The members as the closed-world rule counts them. */
import type { EntryName, RegionName } from "@coltsfootpond/common";
import type { MembershipController } from "../membership/membership_controller.ts";
import type { PeerHeartbeats } from "../membership/peer_heartbeats.ts";
import type { EntryIdentity } from "../types.ts";
import type { ClusterMember } from "./cluster_wide_outage.ts";

export interface WorldOptions {
  readonly identity: EntryIdentity;
  readonly membership: MembershipController;
  readonly peers: PeerHeartbeats;
  readonly computeFactsDigest: () => number;
}

export class ClusterView {
  readonly #options: WorldOptions;

  private constructor(options: WorldOptions) {
    this.#options = options;
  }

  static create(options: WorldOptions): ClusterView {
    return new ClusterView(options);
  }

  /**
   * Registered members, of one region or of all, and whoever else was heard since the rows were
   * read: a joiner counts before this entry could read its row.
   */
  list(region?: RegionName): readonly ClusterMember[] {
    const { identity, membership, peers } = this.#options;
    const entries = new Set<EntryName>();
    const elsewhere = new Set<EntryName>();
    for (const member of membership.list()) {
      const eligible = region === undefined || member.row.region === region;
      (eligible ? entries : elsewhere).add(member.entry);
    }
    for (const entry of peers.listSeenEntries()) {
      if (!elsewhere.has(entry)) entries.add(entry);
    }
    entries.delete(identity.entry);
    return [...entries].map((entry) => ({
      entry,
      lastHeartbeat: peers.get(entry),
    }));
  }

  /** Whether the rows of members that this entry has read are as new as those of its peers. */
  isMembershipNewest(): boolean {
    const { membership, peers } = this.#options;
    return peers.listRecent().every((fact) =>
      fact.membersVersion <= membership.membersVersion
    );
  }

  /** Whether, beyond that, every peer holds the same of the failure domains. */
  isInSyncWithPeers(): boolean {
    const digest = this.#options.computeFactsDigest();
    return this.isMembershipNewest() &&
      this.#options.peers.listRecent().every((fact) =>
        fact.factsDigest === digest
      );
  }

  /** Entries of the region in contact that may be given a failure domain, this one included. */
  listCandidates(region: RegionName): readonly EntryName[] {
    const { membership, peers } = this.#options;
    return membership.list().filter((member) =>
      member.connected && member.row.state === "live" &&
      member.row.region === region &&
      !(peers.get(member.entry)?.leaving ?? false)
    ).map(({ entry }) => entry);
  }
}
