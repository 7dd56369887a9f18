/**
 * The mesh between entries: one WebSocket per pair, dialled by the entry whose name sorts first.
 * The peers are the registered members; a peer whose connection ends is dialled again as long as it
 * is a member.
 */
import type {
  Clock,
  EntryName,
  EventSink,
  Incarnation,
  Timer,
} from "@coltsfootpond/common";
import { brandId } from "@coltsfootpond/common";
import type { IncomingMessage } from "node:http";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { type Observable, Subject } from "rxjs";
import { type ClientOptions, WebSocket, WebSocketServer } from "ws";
import {
  MAXIMUM_MESH_FRAME_BYTES,
  MESH_HEARTBEAT_PERIOD_MS,
  MESH_SILENCE_TIMEOUT_MS,
  MESH_VERSION,
} from "../constants.ts";
import type { Controller, EntryIdentity, Mesh } from "../types.ts";
import {
  createProof,
  HANDSHAKE_HEADER,
  isProofValid,
  type MeshHandshake,
} from "./codec.ts";
import { MeshLink, type MeshMeter } from "./mesh_link.ts";
import type { MeshDelivery, MeshMessage } from "./messages.ts";

/** Where a peer's mesh server listens. */
export interface MeshPeerAddress {
  readonly entry: EntryName;
  readonly host: string;
  readonly port: number;
}

export interface MeshNetworkOptions {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly host: string;
  /** 0 chooses a free port. */
  readonly port: number;
  readonly secret: string;
  readonly meter?: MeshMeter;
  readonly createHeartbeat: () => MeshMessage;
}

const MESH_PATH = "/mesh";

/** Owns the mesh server and all links. */
export class MeshNetwork implements Mesh, Controller {
  readonly name = "mesh";
  readonly #options: MeshNetworkOptions;
  readonly #deliveries = new Subject<MeshDelivery>();
  readonly #links = new Map<EntryName, MeshLink>();
  readonly #dialling = new Set<EntryName>();
  /** Peers with addresses to which no connection can be opened. */
  readonly #undialable = new Set<EntryName>();
  readonly #server: Server = createServer((_request, response) =>
    response.writeHead(426).end()
  );
  readonly #sockets = new WebSocketServer({
    noServer: true,
    maxPayload: MAXIMUM_MESH_FRAME_BYTES,
  });
  #peers: readonly MeshPeerAddress[] = [];
  #redialTimer: Timer | undefined;

  private constructor(options: MeshNetworkOptions) {
    this.#options = options;
    this.#server.on(
      "upgrade",
      (request, socket, head) => this.#accept(request, socket, head),
    );
  }

  static create(options: MeshNetworkOptions): MeshNetwork {
    return new MeshNetwork(options);
  }

  get deliveries(): Observable<MeshDelivery> {
    return this.#deliveries;
  }

  /** The port that the server listens on; available once started. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  start(): Promise<void> {
    this.#redialTimer = this.#options.clock.every(
      MESH_HEARTBEAT_PERIOD_MS,
      () => this.#dialMissing(),
    );
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#options.port, this.#options.host, resolve);
    });
  }

  stop(): Promise<void> {
    this.#redialTimer?.cancel();
    this.#peers = [];
    for (const link of [...this.#links.values()]) link.close("stopping");
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  /** Replaces the list of peers; links to entries that are no longer listed are closed. */
  setPeers(peers: readonly MeshPeerAddress[]): void {
    this.#peers = peers.filter((peer) =>
      peer.entry !== this.#options.identity.entry
    );
    this.#undialable.clear();
    const listed = new Set(this.#peers.map((peer) => peer.entry));
    for (const [entry, link] of [...this.#links]) {
      if (!listed.has(entry)) link.close("no longer a member");
    }
    this.#dialMissing();
  }

  send(to: EntryName, message: MeshMessage): void {
    this.#links.get(to)?.send(message);
  }

  broadcast(message: MeshMessage): void {
    for (const link of this.#links.values()) link.send(message);
  }

  listConnected(): readonly EntryName[] {
    return [...this.#links].filter(([, link]) => link.isLive()).map((
      [entry],
    ) => entry);
  }

  #dialMissing(): void {
    for (const peer of this.#peers) {
      const dials = this.#options.identity.entry < peer.entry &&
        !this.#undialable.has(peer.entry);
      if (
        dials && !this.#links.has(peer.entry) && !this.#dialling.has(peer.entry)
      ) this.#dial(peer);
    }
  }

  #dial(peer: MeshPeerAddress): void {
    const { identity, secret } = this.#options;
    const handshake: MeshHandshake = {
      from: identity.entry,
      incarnation: identity.incarnation,
      to: peer.entry,
    };
    const socket = this.#open(peer, {
      handshakeTimeout: MESH_SILENCE_TIMEOUT_MS,
      maxPayload: MAXIMUM_MESH_FRAME_BYTES,
      perMessageDeflate: false,
      headers: {
        [HANDSHAKE_HEADER.FROM]: handshake.from,
        [HANDSHAKE_HEADER.INCARNATION]: handshake.incarnation,
        [HANDSHAKE_HEADER.VERSION]: String(MESH_VERSION),
        [HANDSHAKE_HEADER.PROOF]: createProof(handshake, secret),
      },
    });
    if (socket === undefined) return;
    this.#dialling.add(peer.entry);
    let peerIncarnation: Incarnation | undefined;
    socket.on(
      "upgrade",
      (response) => (peerIncarnation = this.#checkReply(response, peer.entry)),
    );
    socket.once("open", () => {
      this.#dialling.delete(peer.entry);
      if (peerIncarnation === undefined) return socket.terminate();
      this.#addLink(socket, peer.entry, peerIncarnation);
    });
    socket.once("error", () => this.#dialling.delete(peer.entry));
    socket.once("close", () => this.#dialling.delete(peer.entry));
  }

  /** Undefined if the peer's row has an address to which no connection can be opened. */
  #open(
    { entry, host, port }: MeshPeerAddress,
    options: ClientOptions,
  ): WebSocket | undefined {
    try {
      return new WebSocket(`ws://${host}:${port}${MESH_PATH}`, options);
    } catch (error) {
      this.#undialable.add(entry);
      const { events } = this.#options;
      events.emit("mesh.undialable", { entry }, String(error));
      return undefined;
    }
  }

  /** The incarnation of the answering peer, if the proof in its upgrade response is valid. */
  #checkReply(
    response: IncomingMessage,
    from: EntryName,
  ): Incarnation | undefined {
    const incarnation = brandId<Incarnation>(
      String(response.headers[HANDSHAKE_HEADER.INCARNATION] ?? ""),
    );
    const proof = String(response.headers[HANDSHAKE_HEADER.PROOF] ?? "");
    const handshake: MeshHandshake = {
      from,
      incarnation,
      to: this.#options.identity.entry,
    };
    if (isProofValid(handshake, this.#options.secret, proof)) {
      return incarnation;
    }
    this.#options.events.emit(
      "mesh.refused",
      { entry: from },
      "the answering entry's proof is wrong",
    );
    return undefined;
  }

  #accept(request: IncomingMessage, socket: Duplex, head: Uint8Array): void {
    const { identity, secret, events } = this.#options;
    const from = brandId<EntryName>(
      String(request.headers[HANDSHAKE_HEADER.FROM] ?? ""),
    );
    const incarnation = brandId<Incarnation>(
      String(request.headers[HANDSHAKE_HEADER.INCARNATION] ?? ""),
    );
    const proof = String(request.headers[HANDSHAKE_HEADER.PROOF] ?? "");
    const isVersionKnown =
      request.headers[HANDSHAKE_HEADER.VERSION] === String(MESH_VERSION);
    if (
      !isVersionKnown ||
      !isProofValid({ from, incarnation, to: identity.entry }, secret, proof)
    ) {
      events.emit(
        "mesh.refused",
        { entry: from },
        isVersionKnown ? "wrong proof" : "unknown version",
      );
      socket.end("HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n");
      return;
    }
    const response: MeshHandshake = {
      from: identity.entry,
      incarnation: identity.incarnation,
      to: from,
    };
    this.#sockets.once("headers", (headers: string[]) => {
      headers.push(`${HANDSHAKE_HEADER.INCARNATION}: ${identity.incarnation}`);
      headers.push(
        `${HANDSHAKE_HEADER.PROOF}: ${createProof(response, secret)}`,
      );
    });
    this.#sockets.handleUpgrade(request, socket, head as never, (webSocket) => {
      this.#addLink(webSocket, from, incarnation);
    });
  }

  #addLink(socket: WebSocket, peer: EntryName, incarnation: Incarnation): void {
    const { clock, events, meter, createHeartbeat } = this.#options;
    this.#links.get(peer)?.close("replaced by a newer connection");
    const link = MeshLink.create({
      socket,
      peer,
      incarnation,
      clock,
      events,
      meter,
      createHeartbeat,
      onMessage: (message) =>
        this.#deliveries.next({ from: peer, incarnation, message }),
      onClosed: () => {
        if (this.#links.get(peer) === link) this.#links.delete(peer);
      },
    });
    this.#links.set(peer, link);
    events.emit("mesh.connected", { entry: peer });
  }
}
