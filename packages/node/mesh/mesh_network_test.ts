/**
 * Tests of mesh connections over loopback sockets with a manual clock: handshake proofs, malformed
 * and oversized frames, silent connections.
 */
import {
  brandId,
  type EntryName,
  EventRing,
  type FailureDomainName,
  type Incarnation,
  ManualClock,
  type RegionName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { WebSocket } from "ws";
import {
  MAXIMUM_MESH_FRAME_BYTES,
  MESH_HEARTBEAT_PERIOD_MS,
  MESH_SILENCE_TIMEOUT_MS,
  MESH_VERSION,
} from "../constants.ts";
import { createProof, HANDSHAKE_HEADER } from "./codec.ts";
import type { MeshMessage } from "./messages.ts";
import { MeshNetwork } from "./mesh_network.ts";

const SECRET = "shared";
const HOST = "127.0.0.1";
const WAIT_ROUNDS = 400;

class TestPeer {
  readonly clock = ManualClock.create();
  readonly received: MeshMessage["kind"][] = [];
  readonly events: EventRing;
  readonly network: MeshNetwork;
  readonly entry: EntryName;

  private constructor(name: string, secret: string) {
    this.entry = brandId<EntryName>(name);
    const incarnation = brandId<Incarnation>(`${name}-1`);
    this.events = EventRing.create({
      clock: this.clock,
      process: name,
      incarnation,
      capacity: 100,
    });
    this.network = MeshNetwork.create({
      identity: {
        entry: this.entry,
        incarnation,
        region: brandId<RegionName>("region"),
        failureDomain: brandId<FailureDomainName>("domain"),
      },
      clock: this.clock,
      events: this.events,
      host: HOST,
      port: 0,
      secret,
      createHeartbeat: () => ({
        kind: "heartbeat",
        sequence: 1,
        configurationVersion: 1,
        configurationAgeMs: 0,
        tableReachable: true,
        leaving: false,
        holdings: [],
        membersVersion: 1,
        factsDigest: 0,
        settled: true,
      }),
    });
    this.network.deliveries.subscribe(({ message }) =>
      this.received.push(message.kind)
    );
  }

  static async create(name: string, secret = SECRET): Promise<TestPeer> {
    const peer = new TestPeer(name, secret);
    await peer.network.start();
    return peer;
  }

  get address() {
    return { entry: this.entry, host: HOST, port: this.network.port };
  }

  listEvents(): readonly string[] {
    return this.events.list().map((event) =>
      `${event.event} ${event.detail ?? ""}`.trim()
    );
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let round = 0; round < WAIT_ROUNDS && !condition(); round++) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(condition(), "condition within the rounds").to.equal(true);
}

describe("MeshNetwork", () => {
  const peers: TestPeer[] = [];
  async function createPeer(name: string, secret?: string): Promise<TestPeer> {
    const peer = await TestPeer.create(name, secret);
    peers.push(peer);
    return peer;
  }
  async function connect(left: TestPeer, right: TestPeer): Promise<void> {
    left.network.setPeers([right.address]);
    right.network.setPeers([left.address]);
    await waitUntil(() =>
      left.network.listConnected().length === 1 &&
      right.network.listConnected().length === 1
    );
  }
  /** A client with the valid secret that may send any frame. */
  async function connectRaw(to: TestPeer): Promise<WebSocket> {
    const handshake = {
      from: brandId<EntryName>("raw"),
      incarnation: brandId<Incarnation>("raw-1"),
      to: to.entry,
    };
    const socket = new WebSocket(`ws://${HOST}:${to.network.port}/mesh`, {
      headers: {
        [HANDSHAKE_HEADER.FROM]: handshake.from,
        [HANDSHAKE_HEADER.INCARNATION]: handshake.incarnation,
        [HANDSHAKE_HEADER.VERSION]: String(MESH_VERSION),
        [HANDSHAKE_HEADER.PROOF]: createProof(handshake, SECRET),
      },
    });
    socket.on("error", () => {});
    await waitUntil(() => socket.readyState === WebSocket.OPEN);
    await waitUntil(() => to.network.listConnected().length === 1);
    return socket;
  }
  afterEach(async () => {
    for (const peer of peers.splice(0)) await peer.network.stop();
  });

  // Guards against a member row whose address ends the processes of all other entries.
  it("connects to the other peers when one has an address that cannot be dialled", async () => {
    const [left, right] = [await createPeer("a"), await createPeer("z")];
    const odd = [
      { host: HOST, port: 99_999 },
      { host: HOST, port: -1 },
      { host: HOST, port: Number.NaN },
      { host: "", port: 80 },
      { host: "a b", port: 80 },
      { host: "a#b", port: 80 },
      { host: "\0", port: 80 },
    ].map((address, number) => ({
      entry: brandId<EntryName>(`m-${number}`),
      ...address,
    }));
    left.network.setPeers([...odd, right.address]);
    right.network.setPeers([left.address]);
    await waitUntil(() => left.network.listConnected().length === 1);
    const events = left.listEvents().filter((event) =>
      event.startsWith("mesh.undialable")
    );
    expect(events).to.have.length(odd.length);
    await left.clock.advance(5 * MESH_HEARTBEAT_PERIOD_MS);
    expect(
      left.listEvents().filter((event) => event.startsWith("mesh.undialable")),
    ).to.deep.equal(events);
  });

  it("carries messages both ways over one connection", async () => {
    const [left, right] = [await createPeer("a"), await createPeer("b")];
    await connect(left, right);
    left.network.broadcast({ kind: "configuration_accepted", version: 2 });
    right.network.send(left.entry, {
      kind: "configuration_accepted",
      version: 2,
    });
    await waitUntil(() => left.received.includes("configuration_accepted"));
    await waitUntil(() => right.received.includes("configuration_accepted"));
  });

  it("refuses a peer with another secret", async () => {
    const [left, right] = [
      await createPeer("a", "wrong"),
      await createPeer("b"),
    ];
    left.network.setPeers([right.address]);
    right.network.setPeers([left.address]);
    await waitUntil(() =>
      right.listEvents().includes("mesh.refused wrong proof")
    );
    expect(right.network.listConnected()).to.deep.equal([]);
  });

  it("closes a silent connection and dials again", async () => {
    const [left, right] = [await createPeer("a"), await createPeer("b")];
    await connect(left, right);
    await left.clock.advance(
      MESH_SILENCE_TIMEOUT_MS + MESH_HEARTBEAT_PERIOD_MS,
    );
    await waitUntil(() => left.listEvents().includes("mesh.closed silent"));
    await left.clock.advance(MESH_HEARTBEAT_PERIOD_MS);
    await waitUntil(() => left.network.listConnected().length === 1);
  });

  for (
    const { name, frame } of [
      { name: "malformed msgpack", frame: new Uint8Array([0xc1, 0xff, 0x00]) },
      { name: "a value that is not a message", frame: new Uint8Array([0x01]) },
      {
        name: "an oversized frame",
        frame: new Uint8Array(MAXIMUM_MESH_FRAME_BYTES + 1),
      },
    ]
  ) {
    it(`closes a connection that sends ${name}, and accepts new ones`, async () => {
      const [left, right] = [await createPeer("a"), await createPeer("b")];
      const socket = await connectRaw(right);
      socket.send(frame);
      await waitUntil(() => socket.readyState === WebSocket.CLOSED);
      expect(right.network.listConnected()).to.deep.equal([]);
      await connect(left, right);
    });
  }
});
