/** The members as the closed-world rule counts them. */
import type { EntryName, RegionName } from "@coltsfootpond/common";
import type { MembershipController } from "../membership/membership_controller.ts";
import type { PeerFacts } from "../membership/peer_facts.ts";
import type { EntryIdentity } from "../types.ts";
import type { WorldMember } from "./closed_world.ts";

export interface WorldOptions {
  readonly identity: EntryIdentity;
  readonly membership: MembershipController;
  readonly peers: PeerFacts;
}

export class World {
  readonly #options: WorldOptions;

  private constructor(options: WorldOptions) {
    this.#options = options;
  }

  static create(options: WorldOptions): World {
    return new World(options);
  }

  /**
   * Registered members, of one region or of all, and whoever else was heard since the rows were
   * read: a joiner counts before this entry could read its row.
   */
  list(region?: RegionName): readonly WorldMember[] {
    const { identity, membership, peers } = this.#options;
    const entries = new Set<EntryName>();
    const elsewhere = new Set<EntryName>();
    for (const member of membership.list()) {
      const eligible = region === undefined || member.row.region === region;
      (eligible ? entries : elsewhere).add(member.entry);
    }
    for (const entry of peers.listKnown()) {
      if (!elsewhere.has(entry)) entries.add(entry);
    }
    entries.delete(identity.entry);
    return [...entries].map((entry) => ({ entry, heard: peers.get(entry) }));
  }

  /** Whether the rows of members that this entry has read are as new as those of its peers. */
  isNewest(): boolean {
    const { membership, peers } = this.#options;
    return peers.listHeard().every((fact) =>
      fact.membersVersion <= membership.membersVersion
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
