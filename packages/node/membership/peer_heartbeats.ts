/**
 * The last heartbeat received from each peer. Membership, configuration, ownership, the relay and
 * the cluster view read them.
 */
import type { Clock, EntryName, Incarnation } from "@coltsfootpond/common";
import { MESH_SILENCE_TIMEOUT_MS } from "../constants.ts";
import type { MeshDelivery, ReportedOwnedDomain } from "../mesh/messages.ts";
import type { Mesh } from "../types.ts";

/**
 * One peer's last heartbeat. The fields that the message contains are described at `MeshMessage`;
 * times are on this process's clock.
 */
export interface PeerHeartbeat {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  readonly receivedMs: number;
  /** Start of the uninterrupted sequence of heartbeats of this incarnation. */
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
  readonly #heartbeats = new Map<EntryName, PeerHeartbeat>();
  readonly #seenEntries = new Set<EntryName>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(mesh: Mesh, clock: Clock): PeerHeartbeats {
    const heartbeats = new PeerHeartbeats(clock);
    mesh.deliveries.subscribe((delivery) => heartbeats.#receive(delivery));
    return heartbeats;
  }

  /** Heartbeats received within the last `MESH_SILENCE_TIMEOUT_MS`. */
  listRecent(): readonly PeerHeartbeat[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#heartbeats.values()].filter((heartbeat) =>
      nowMs - heartbeat.receivedMs < MESH_SILENCE_TIMEOUT_MS
    );
  }

  /** The peer's heartbeat, if it is recent as in `listRecent`. */
  get(entry: EntryName): PeerHeartbeat | undefined {
    return this.listRecent().find((heartbeat) => heartbeat.entry === entry);
  }

  /** Entries that have sent a heartbeat since, or recently before, the last `resetSeenEntries`. */
  listSeenEntries(): readonly EntryName[] {
    return [...this.#seenEntries];
  }

  /**
   * Called after a read of the member rows. Entries registered before the read are in those rows,
   * so only entries with a recent heartbeat remain in the list.
   */
  resetSeenEntries(): void {
    this.#seenEntries.clear();
    for (const { entry } of this.listRecent()) this.#seenEntries.add(entry);
  }

  /**
   * Called after a pause of this process: heartbeats that waited in socket buffers are of unknown
   * age, so all are dropped.
   */
  clear(): void {
    this.#heartbeats.clear();
  }

  #receive(delivery: MeshDelivery): void {
    const { message, from, incarnation } = delivery;
    if (message.kind !== "heartbeat") return;
    this.#seenEntries.add(from);
    const nowMs = this.#clock.nowMs();
    const previous = this.#heartbeats.get(from);
    const isContinued = previous?.incarnation === incarnation &&
      nowMs - previous.receivedMs < MESH_SILENCE_TIMEOUT_MS;
    this.#heartbeats.set(from, {
      entry: from,
      incarnation,
      receivedMs: nowMs,
      connectedSinceMs: isContinued ? previous.connectedSinceMs : nowMs,
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
