/** What the other entries last said of themselves in their heartbeats. */
import type { Clock, EntryName, Incarnation } from "@coltsfootpond/common";
import { MESH_SILENCE_MS } from "../constants.ts";
import type { HeldDomain, MeshDelivery } from "../mesh/messages.ts";
import type { Mesh } from "../types.ts";

/** One peer's last heartbeat, at the time it was heard on this process's clock. */
export interface PeerFact {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  readonly heardMs: number;
  /** Since when it has been heard without a silence. */
  readonly connectedSinceMs: number;
  readonly tableReachable: boolean;
  readonly configurationVersion: number;
  readonly configurationAgeMs: number;
  readonly leaving: boolean;
  readonly membersVersion: number;
  readonly settled: boolean;
  readonly holdings: readonly HeldDomain[];
}

export class PeerFacts {
  readonly #clock: Clock;
  readonly #facts = new Map<EntryName, PeerFact>();
  readonly #known = new Set<EntryName>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(mesh: Mesh, clock: Clock): PeerFacts {
    const facts = new PeerFacts(clock);
    mesh.deliveries.subscribe((delivery) => facts.#learn(delivery));
    return facts;
  }

  /** Facts not older than the silence bound. */
  listHeard(): readonly PeerFact[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#facts.values()].filter((fact) =>
      nowMs - fact.heardMs < MESH_SILENCE_MS
    );
  }

  get(entry: EntryName): PeerFact | undefined {
    return this.listHeard().find((fact) => fact.entry === entry);
  }

  /** Every entry ever heard, since the last `forgetAbsent`. */
  listKnown(): readonly EntryName[] {
    return [...this.#known];
  }

  /** Called after a read of the members: it tells who of those heard earlier is registered. */
  forgetAbsent(): void {
    this.#known.clear();
    for (const { entry } of this.listHeard()) this.#known.add(entry);
  }

  /** Drops what was heard: after a pause, what waited in the sockets is of unknown age. */
  clear(): void {
    this.#facts.clear();
  }

  #learn(delivery: MeshDelivery): void {
    const { message, from, incarnation } = delivery;
    if (message.kind !== "heartbeat") return;
    this.#known.add(from);
    const nowMs = this.#clock.nowMs();
    const known = this.#facts.get(from);
    const continues = known?.incarnation === incarnation &&
      nowMs - known.heardMs < MESH_SILENCE_MS;
    this.#facts.set(from, {
      entry: from,
      incarnation,
      heardMs: nowMs,
      connectedSinceMs: continues ? known.connectedSinceMs : nowMs,
      tableReachable: message.tableReachable,
      configurationVersion: message.configurationVersion,
      configurationAgeMs: message.configurationAgeMs,
      leaving: message.leaving,
      membersVersion: message.membersVersion,
      settled: message.settled,
      holdings: message.holdings,
    });
  }
}
