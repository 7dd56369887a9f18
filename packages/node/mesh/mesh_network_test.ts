/** Mesh links over real loopback sockets with a manual clock: proof, garbage, size and silence. */
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
import { createProof, HELLO_HEADER } from "./codec.ts";
import type { MeshMessage } from "./messages.ts";
import { MeshNetwork } from "./mesh_network.ts";

const SECRET = "shared";
const HOST = "127.0.0.1";
const WAIT_ROUNDS = 400;

class MeshEnd {
  readonly clock = ManualClock.create();
  readonly received: MeshMessage["kind"][] = [];
  readonly events: EventRing;
  readonly task: MeshNetwork;
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
    this.task = MeshNetwork.create({
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
    this.task.deliveries.subscribe(({ message }) =>
      this.received.push(message.kind)
    );
  }

  static async create(name: string, secret = SECRET): Promise<MeshEnd> {
    const end = new MeshEnd(name, secret);
    await end.task.start();
    return end;
  }

  get address() {
    return { entry: this.entry, host: HOST, port: this.task.port };
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

describe("MeshTask", () => {
  const ends: MeshEnd[] = [];
  async function createEnd(name: string, secret?: string): Promise<MeshEnd> {
    const end = await MeshEnd.create(name, secret);
    ends.push(end);
    return end;
  }
  async function connect(left: MeshEnd, right: MeshEnd): Promise<void> {
    left.task.setPeers([right.address]);
    right.task.setPeers([left.address]);
    await waitUntil(() =>
      left.task.listConnected().length === 1 &&
      right.task.listConnected().length === 1
    );
  }
  /** A client that knows the secret but not the rules. */
  async function connectRaw(to: MeshEnd): Promise<WebSocket> {
    const hello = {
      from: brandId<EntryName>("raw"),
      incarnation: brandId<Incarnation>("raw-1"),
      to: to.entry,
    };
    const socket = new WebSocket(`ws://${HOST}:${to.task.port}/mesh`, {
      headers: {
        [HELLO_HEADER.FROM]: hello.from,
        [HELLO_HEADER.INCARNATION]: hello.incarnation,
        [HELLO_HEADER.VERSION]: String(MESH_VERSION),
        [HELLO_HEADER.PROOF]: createProof(hello, SECRET),
      },
    });
    socket.on("error", () => {});
    await waitUntil(() => socket.readyState === WebSocket.OPEN);
    await waitUntil(() => to.task.listConnected().length === 1);
    return socket;
  }
  afterEach(async () => {
    for (const end of ends.splice(0)) await end.task.stop();
  });

  it("carries messages both ways over one connection", async () => {
    const [left, right] = [await createEnd("a"), await createEnd("b")];
    await connect(left, right);
    left.task.broadcast({ kind: "configuration_accepted", version: 2 });
    right.task.send(left.entry, { kind: "configuration_accepted", version: 2 });
    await waitUntil(() => left.received.includes("configuration_accepted"));
    await waitUntil(() => right.received.includes("configuration_accepted"));
  });

  it("refuses a peer with another secret", async () => {
    const [left, right] = [await createEnd("a", "wrong"), await createEnd("b")];
    left.task.setPeers([right.address]);
    right.task.setPeers([left.address]);
    await waitUntil(() =>
      right.listEvents().includes("mesh.refused wrong proof")
    );
    expect(right.task.listConnected()).to.deep.equal([]);
  });

  it("ends a silent connection and dials again", async () => {
    const [left, right] = [await createEnd("a"), await createEnd("b")];
    await connect(left, right);
    await left.clock.advance(
      MESH_SILENCE_TIMEOUT_MS + MESH_HEARTBEAT_PERIOD_MS,
    );
    await waitUntil(() => left.listEvents().includes("mesh.closed silent"));
    await left.clock.advance(MESH_HEARTBEAT_PERIOD_MS);
    await waitUntil(() => left.task.listConnected().length === 1);
  });

  for (
    const { name, frame } of [
      { name: "garbage", frame: new Uint8Array([0xc1, 0xff, 0x00]) },
      { name: "a value that is no message", frame: new Uint8Array([0x01]) },
      {
        name: "an oversized frame",
        frame: new Uint8Array(MAXIMUM_MESH_FRAME_BYTES + 1),
      },
    ]
  ) {
    it(`drops a connection that sends ${name}, and goes on`, async () => {
      const [left, right] = [await createEnd("a"), await createEnd("b")];
      const socket = await connectRaw(right);
      socket.send(frame);
      await waitUntil(() => socket.readyState === WebSocket.CLOSED);
      expect(right.task.listConnected()).to.deep.equal([]);
      await connect(left, right);
    });
  }
});
