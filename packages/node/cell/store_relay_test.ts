import { SeededRandom, SystemClock } from "@coltsfootpond/common";
import type { StateRow, StateStore, Unavailable } from "@coltsfootpond/ports";
import { expect } from "chai";
import { Buffer } from "node:buffer";
import { SILENT_LOG } from "./log.ts";
import { DIRECT_PROBE_PERIOD_MS } from "./direct_path.ts";
import { decodeMessage, encodeMessage } from "./peer_messages.ts";
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

/**
 * Wraps a store; while silent, it lets every call run into its time-out. Counts the answered reads
 * of whole tables, which are never probes: a probe reads one row.
 */
function createSilentStore(store: StateStore) {
  const state = { isSilent: true, wholeReads: 0 };
  const answer = async <Outcome>(
    timeoutMs: number,
    run: () => Promise<Outcome>,
  ): Promise<Outcome | Unavailable> => {
    if (!state.isSilent) return await run();
    await new Promise((resolve) => setTimeout(resolve, timeoutMs));
    return { kind: "unavailable", effect: "lost", reason: "timeout" };
  };
  const silent: StateStore = {
    transact: (...call) => answer(call[1], () => store.transact(...call)),
    read: (...call) =>
      answer(call[2], () => {
        if (call[1].fromKey === undefined) state.wholeReads++;
        return store.read(...call);
      }),
    follow: (...call) => answer(call[3], () => store.follow(...call)),
  };
  return { silent, state };
}

/** Duration of a call in milliseconds. */
async function measureMs(run: () => Promise<unknown>): Promise<number> {
  const beganMs = performance.now();
  await run();
  return performance.now() - beganMs;
}

async function createPeer(
  store: StateStore,
  operatorRows: readonly StateRow[] = [],
  isStoreDown = false,
): Promise<PeerServer> {
  const server = PeerServer.create({
    limits: {
      connections: 100,
      unparsedBytes: 1_048_576,
      bodyBytes: 4_194_304,
    },
    clock: SystemClock.create(),
    address: { host: HOST, port: 0 },
    store,
    isStoreDown: () => isStoreDown,
    listOperatorRows: (afterVersion) =>
      operatorRows.filter(({ version }) => version > afterVersion),
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

  it("reaches the store through a peer when its own call is refused", async () => {
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

  // Guards against one transaction that the store rejects and that ends all reads in progress, as the
  // direct path counted as down.
  it("keeps using the direct path after a transaction that the store rejects", async () => {
    const rejected = { kind: "rejected", reason: "status 400" } as const;
    const relay = createRelay({
      ...store,
      transact: () => Promise.resolve(rejected),
    }, []);
    expect(await relay.transact(TRANSACTION, 500)).to.deep.equal(rejected);
    expect(relay.isDirectDown).to.equal(false);
    expect(relay.downForMs).to.equal(0);
  });

  // Guards against a transaction that a peer has seen rejected and that is tried at each other peer.
  it("passes on that the store has rejected a peer's transaction", async () => {
    const rejected = { kind: "rejected", reason: "status 413" } as const;
    let calls = 0;
    const rejecting: StateStore = {
      ...store,
      transact: () => {
        calls++;
        return Promise.resolve(rejected);
      },
    };
    peers = [await createPeer(rejecting), await createPeer(rejecting)];
    const relay = createRelay(createFailingStore("refused"), peers);
    expect(await relay.transact(TRANSACTION, 500)).to.deep.equal(rejected);
    expect(calls).to.equal(1);
  });

  it("compresses a large table to a fraction of its size", async () => {
    const value = Buffer.from(
      Array.from(
        { length: 1_400 },
        (_, number) =>
          `{"host":"host.example","path":"/queue-${number}/","service":"service"}`,
      )
        .join(),
    );
    const outcome = {
      kind: "rows",
      version: 1,
      rows: [{ key: "row", version: 1, value }],
    } as const;
    const bytes = await encodeMessage(outcome);
    expect(bytes.byteLength).to.be.lessThan(value.byteLength / 5);
    const decoded = await decodeMessage(bytes) as typeof outcome;
    expect(Buffer.from(decoded.rows[0].value).equals(value)).to.equal(true);
    const truncated = await decodeMessage(bytes.subarray(0, 100)).catch(String);
    expect(truncated).to.be.a("string");
  });

  it("relays a whole table that spans several pages of the store", async () => {
    // Five times the store's limit of 1 MB for one answer.
    const rows = Array.from({ length: 5 }, (_, number) => ({
      key: `row-${number}`,
      version: 1,
      value: new Uint8Array(1_048_576).fill(number),
    }));
    const large: StateStore = {
      ...createFailingStore("refused"),
      read: () => Promise.resolve({ kind: "rows", rows, version: 1 }),
    };
    peers = [await createPeer(large)];
    const relay = createRelay(createFailingStore("refused"), peers);
    const outcome = await relay.read("state", {}, 2_000);
    expect(outcome.kind === "rows" && outcome.rows.length).to.equal(5);
    relay.close();
  });

  it("returns lost when the peer's own call fails unexpectedly", async () => {
    const broken: StateStore = {
      ...createFailingStore("refused"),
      transact: () => Promise.reject(new Error("broken")),
    };
    peers = [await createPeer(broken)];
    const relay = createRelay(createFailingStore("refused"), peers);
    expect(await relay.transact(TRANSACTION, 500)).to.include({
      effect: "lost",
      reason: "status 500",
    });
    relay.close();
  });

  it("returns refused only when no try can have taken effect", async () => {
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

  it("does not wait on a direct path that is known to be silent, and uses it again once it answers", async () => {
    peers = [await createPeer(store)];
    const { silent, state } = createSilentStore(store);
    const relay = createRelay(silent, peers);
    await relay.transact(TRANSACTION, 600);
    let longestMs = 0;
    for (let call = 0; call < 12; call++) {
      const tookMs = await measureMs(() => relay.read("state", {}, 600));
      longestMs = Math.max(longestMs, tookMs);
      await new Promise((resolve) => setTimeout(resolve, 60));
    }
    // A call over loopback takes far less; the direct path's share would be 420 ms.
    expect(longestMs).to.be.lessThan(200);
    state.isSilent = false;
    await new Promise((resolve) =>
      setTimeout(resolve, 3 * DIRECT_PROBE_PERIOD_MS + 500)
    );
    expect(state.wholeReads).to.equal(0);
    await relay.read("state", {}, 600);
    expect(state.wholeReads).to.equal(1);
    relay.close();
  });

  it("waits for a silent direct path no longer in a read of a whole table than in any other call", async () => {
    peers = [await createPeer(store)];
    const { silent } = createSilentStore(store);
    const relay = createRelay(silent, peers);
    const tookMs = await measureMs(async () => {
      expect((await relay.read("state", {}, 2_000)).kind).to.equal("rows");
    });
    // The direct try of any call: 70% of 900 ms, plus a call over loopback; not 70% of 2 s.
    expect(tookMs).to.be.lessThan(1_000);
    relay.close();
  });

  it("moves a long poll to a peer when another call finds the direct path silent", async () => {
    peers = [await createPeer(store)];
    const { silent } = createSilentStore(store);
    const relay = createRelay(silent, peers);
    const poll = relay.follow("state", 0, 0, 4_000);
    const tookMs = await measureMs(async () => {
      await relay.transact(TRANSACTION, 200);
      expect((await poll).kind).to.equal("rows");
    });
    expect(tookMs).to.be.lessThan(2_000);
    relay.close();
  });

  it("finds the one peer that reaches the store among others that wait on a silent one", async () => {
    const { silent } = createSilentStore(store);
    const down = await Promise.all(
      Array.from({ length: 4 }, () => createPeer(silent, [], true)),
    );
    peers = [...down, await createPeer(store)];
    const relay = createRelay(createFailingStore("refused"), peers);
    const tookMs = await measureMs(async () => {
      expect((await relay.transact(TRANSACTION, 500)).kind).to.equal(
        "committed",
      );
    });
    expect(tookMs).to.be.lessThan(400);
    relay.close();
  });

  it("takes no operators' rows from a peer that cannot reach the store", async () => {
    const row = { key: "row", version: 1, value: new Uint8Array([1]) };
    peers = [await createPeer(createFailingStore("refused"), [row], true)];
    const relay = createRelay(createFailingStore("refused"), peers);
    expect(await relay.fetchOperatorRows(0, 500)).to.include({
      kind: "unavailable",
    });
    relay.close();
  });

  it("fetches a peer's copy of the operators' rows", async () => {
    const rows = [1, 2, 3].map((version) => ({
      key: `row-${version}`,
      version,
      value: new Uint8Array([version]),
    }));
    peers = [await createPeer(createFailingStore("refused"), rows)];
    const relay = createRelay(createFailingStore("refused"), peers);
    const answer = await relay.fetchOperatorRows(1, 500);
    expect("rows" in answer && answer.rows.map(({ key }) => key)).to.deep.equal(
      ["row-2", "row-3"],
    );
    const relayWithoutPeers = createRelay(createFailingStore("refused"), []);
    expect(await relayWithoutPeers.fetchOperatorRows(1, 500)).to.include({
      kind: "unavailable",
    });
  });

  it("returns refused for a call to a peer that no longer listens", async () => {
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
