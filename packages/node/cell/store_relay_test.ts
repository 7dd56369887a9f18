import { SeededRandom, SystemClock } from "@coltsfootpond/common";
import type { StateStore, Unavailable } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SILENT_LOG } from "./log.ts";
import { PeerServer } from "./peer_server.ts";
import { StoreRelay } from "./store_relay.ts";
import { createStoreFake, type StoreFake } from "./test_fixtures.ts";

const HOST = "127.0.0.1";

function createFailingStore(effect: Unavailable["effect"]): StateStore {
  const outcome: Unavailable = { kind: "unavailable", effect, reason: "test" };
  return {
    transact: () => Promise.resolve(outcome),
    read: () => Promise.resolve(outcome),
    follow: () => Promise.resolve(outcome),
  };
}

async function createPeer(store: StateStore): Promise<PeerServer> {
  const server = PeerServer.create({
    address: { host: HOST, port: 0 },
    store,
    log: SILENT_LOG,
  });
  await server.listen();
  return server;
}

function createRelay(
  direct: StateStore,
  peers: readonly PeerServer[],
): StoreRelay {
  return StoreRelay.create({
    direct,
    getPeers: () => peers.map(({ port }) => ({ host: HOST, port })),
    clock: SystemClock.create(),
    random: SeededRandom.create(1),
    log: SILENT_LOG,
  });
}

const TRANSACTION = {
  conditions: [{ key: "row", version: 0 }],
  puts: [{ key: "row", value: new Uint8Array([1, 2, 3]) }],
  deletes: [],
};

describe("store relay", () => {
  let store: StoreFake;
  let peers: PeerServer[] = [];

  beforeEach(() => {
    store = createStoreFake();
  });

  afterEach(() => {
    peers.forEach((peer) => peer.close());
    peers = [];
  });

  it("reaches the store through a peer when it is turned away itself", async () => {
    peers = [await createPeer(store)];
    const relay = createRelay(createFailingStore("refused"), peers);
    const outcome = await relay.transact(TRANSACTION, 500);
    expect(outcome).to.deep.equal({ kind: "committed", version: 1 });
    const read = await relay.read("state", {}, 500);
    expect(read.kind === "rows" && [...read.rows[0]!.value!]).to.deep.equal([
      1,
      2,
      3,
    ]);
  });

  it("says refused only when no try can have taken effect", async () => {
    peers = [await createPeer(createFailingStore("refused"))];
    const certain = createRelay(createFailingStore("refused"), peers);
    expect(await certain.transact(TRANSACTION, 500)).to.include({
      effect: "refused",
    });
    const uncertain = createRelay(createFailingStore("lost"), peers);
    expect(await uncertain.transact(TRANSACTION, 500)).to.include({
      effect: "lost",
    });
  });

  it("knows that a call to a peer that has gone had no effect", async () => {
    const peer = await createPeer(store);
    const { port } = peer;
    peer.close();
    const relay = createRelay(createFailingStore("refused"), [
      { port } as PeerServer,
    ]);
    expect(await relay.transact(TRANSACTION, 200)).to.include({
      effect: "refused",
    });
  });
});
