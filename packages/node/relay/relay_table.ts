/**
 * The table service for an entry whose own connection to it may fail while a peer's works: when
 * direct calls fail, they are relayed through a peer over the mesh. Peers serve relayed calls on
 * their direct connection only, so a call is relayed at most once.
 */
import {
  assertNever,
  type Clock,
  type EntryName,
  type EventSink,
  nextInteger,
  type Random,
} from "@coltsfootpond/common";
import {
  type CallOptions,
  lost,
  type ReadOutcome,
  refused,
  type TablePort,
  type TableTransaction,
  type TransactionOutcome,
} from "@coltsfootpond/ports";
import { PeerHeartbeats } from "../membership/peer_heartbeats.ts";
import type { MeshDelivery, RelayOperation } from "../mesh/messages.ts";
import type { Mesh } from "../types.ts";
import {
  MAXIMUM_RELAYED_CALLS,
  RELAY_CALL_TIMEOUT_MS,
  RELAY_PROBE_PERIOD_MS,
} from "../constants.ts";

export interface RelayTableOptions {
  readonly direct: TablePort;
  readonly mesh: Mesh;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
}

type RelayOutcome = TransactionOutcome | ReadOutcome;

/** A table port that relays its calls through peers while direct calls fail. */
export class RelayTable implements TablePort {
  readonly #options: RelayTableOptions;
  readonly #peerHeartbeats: PeerHeartbeats;
  readonly #pending = new Map<number, (outcome: RelayOutcome) => void>();
  #nextRelayId = 0;
  #serving = 0;
  #isDirectDown = false;
  #lastProbeMs = 0;

  private constructor(options: RelayTableOptions) {
    this.#options = options;
    this.#peerHeartbeats = PeerHeartbeats.create(options.mesh, options.clock);
    options.mesh.deliveries.subscribe((delivery) => this.#receive(delivery));
  }

  static create(options: RelayTableOptions): RelayTable {
    return new RelayTable(options);
  }

  async transact(
    transaction: TableTransaction,
    options: CallOptions,
  ): Promise<TransactionOutcome> {
    const outcome = await this.#call(
      { kind: "transact", transaction },
      options,
    );
    return outcome.kind === "rows"
      ? lost("the peer answered another call")
      : outcome;
  }

  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome> {
    return this.#readThrough({ kind: "read", keys }, options);
  }

  scan(prefix: string, options: CallOptions): Promise<ReadOutcome> {
    return this.#readThrough({ kind: "scan", prefix }, options);
  }

  async #readThrough(
    operation: RelayOperation,
    options: CallOptions,
  ): Promise<ReadOutcome> {
    const outcome = await this.#call(operation, options);
    const isRead = outcome.kind === "rows" || outcome.kind === "unavailable";
    return isRead ? outcome : lost("the peer answered another call");
  }

  async #call(
    operation: RelayOperation,
    options: CallOptions,
  ): Promise<RelayOutcome> {
    const peer = this.#choosePeer();
    if (peer !== undefined) return await this.#relay(peer, operation, options);
    this.#lastProbeMs = this.#options.clock.nowMs();
    const outcome = await this.#callDirect(operation, options);
    this.#recordDirectResult(outcome.kind !== "unavailable");
    return outcome;
  }

  /** A peer to relay through, while direct calls fail and no probe is due. */
  #choosePeer(): EntryName | undefined {
    const { clock, random } = this.#options;
    if (!this.#isDirectDown) return undefined;
    if (clock.nowMs() - this.#lastProbeMs >= RELAY_PROBE_PERIOD_MS) {
      return undefined;
    }
    const reachable = this.#peerHeartbeats.listRecent().filter((heartbeat) =>
      heartbeat.tableReachable
    );
    return reachable[nextInteger(random, reachable.length)]?.entry;
  }

  #recordDirectResult(succeeded: boolean): void {
    if (this.#isDirectDown !== succeeded) return;
    this.#isDirectDown = !succeeded;
    const event = succeeded ? "table.direct" : "table.relayed";
    this.#options.events.emit(event);
  }

  #relay(
    peer: EntryName,
    operation: RelayOperation,
    options: CallOptions,
  ): Promise<RelayOutcome> {
    const { mesh, clock } = this.#options;
    const relayId = this.#nextRelayId++;
    return new Promise((resolve) => {
      const finish = (outcome: RelayOutcome) => {
        timer.cancel();
        this.#pending.delete(relayId);
        resolve(outcome);
      };
      const timer = clock.after(
        options.timeoutMs,
        () => finish(lost("the relaying peer gave no answer")),
      );
      this.#pending.set(relayId, finish);
      mesh.send(peer, { kind: "relay_request", relayId, operation });
    });
  }

  #receive(delivery: MeshDelivery): void {
    const { message, from } = delivery;
    if (message.kind === "relay_reply") {
      this.#pending.get(message.relayId)?.(message.outcome);
    }
    if (message.kind === "relay_request") {
      void this.#serve(from, message.relayId, message.operation);
    }
  }

  async #serve(
    from: EntryName,
    relayId: number,
    operation: RelayOperation,
  ): Promise<void> {
    const outcome = await this.#serveDirect(operation);
    this.#options.mesh.send(from, { kind: "relay_reply", relayId, outcome });
  }

  async #serveDirect(operation: RelayOperation): Promise<RelayOutcome> {
    if (this.#serving >= MAXIMUM_RELAYED_CALLS) {
      return refused("too many relayed calls");
    }
    this.#serving += 1;
    try {
      const timeoutMs = RELAY_CALL_TIMEOUT_MS;
      return await this.#callDirect(operation, { timeoutMs });
    } finally {
      this.#serving -= 1;
    }
  }

  #callDirect(
    operation: RelayOperation,
    options: CallOptions,
  ): Promise<RelayOutcome> {
    const { direct } = this.#options;
    switch (operation.kind) {
      case "transact":
        return direct.transact(operation.transaction, options);
      case "read":
        return direct.read(operation.keys, options);
      case "scan":
        return direct.scan(operation.prefix, options);
      default:
        return assertNever(operation);
    }
  }
}
