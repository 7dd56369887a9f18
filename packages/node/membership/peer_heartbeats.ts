/** What the other entries last said of themselves in their heartbeats. */
import type { Clock, EntryName, Incarnation } from "@coltsfootpond/common";
import { MESH_SILENCE_TIMEOUT_MS } from "../constants.ts";
import type { MeshDelivery, ReportedOwnedDomain } from "../mesh/messages.ts";
import type { Mesh } from "../types.ts";

/** One peer's last heartbeat, at the time it was heard on this process's clock. */
export interface PeerHeartbeat {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  readonly receivedMs: number;
  /** Since when it has been heard without a silence. */
  readonly connectedSinceMs: number;
  readonly tableReachable: boolean;
  readonly configurationVersion: number;
  readonly configurationAgeMs: number;
  readonly leaving: boolean;
  readonly membersVersion: number;
  readonly factsDigest: number;
  readonly settled: boolean;
  readonly holdings: readonly ReportedOwnedDomain[];
}

export class PeerHeartbeats {
  readonly #clock: Clock;
  readonly #facts = new Map<EntryName, PeerHeartbeat>();
  readonly #known = new Set<EntryName>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(mesh: Mesh, clock: Clock): PeerHeartbeats {
    const facts = new PeerHeartbeats(clock);
    mesh.deliveries.subscribe((delivery) => facts.#learn(delivery));
    return facts;
  }

  /** Facts not older than the silence bound. */
  listRecent(): readonly PeerHeartbeat[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#facts.values()].filter((fact) =>
      nowMs - fact.receivedMs < MESH_SILENCE_TIMEOUT_MS
    );
  }

  get(entry: EntryName): PeerHeartbeat | undefined {
    return this.listRecent().find((fact) => fact.entry === entry);
  }

  /** Every entry ever heard, since the last `forgetAbsent`. */
  listSeenEntries(): readonly EntryName[] {
    return [...this.#known];
  }

  /** Called after a read of the members: it tells who of those heard earlier is registered. */
  resetSeenEntries(): void {
    this.#known.clear();
    for (const { entry } of this.listRecent()) this.#known.add(entry);
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
      nowMs - known.receivedMs < MESH_SILENCE_TIMEOUT_MS;
    this.#facts.set(from, {
      entry: from,
      incarnation,
      receivedMs: nowMs,
      connectedSinceMs: continues ? known.connectedSinceMs : nowMs,
      tableReachable: message.tableReachable,
      configurationVersion: message.configurationVersion,
      configurationAgeMs: message.configurationAgeMs,
      leaving: message.leaving,
      membersVersion: message.membersVersion,
      factsDigest: message.factsDigest,
      settled: message.settled,
      holdings: message.holdings,
    });
  }
}
