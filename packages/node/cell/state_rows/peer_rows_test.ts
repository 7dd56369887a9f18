/** Tests of announcements of entries that cannot be decoded or that name no usable peer. */
import { ManualClock } from "@coltsfootpond/common";
import type { CellSettings, HostPort } from "@coltsfootpond/ports";
import { expect } from "chai";
import { pack } from "msgpackr";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { SchedulerLease } from "../lease/scheduler_lease.ts";
import { SILENT_LOG } from "../log.ts";
import { PeerRegistry } from "../peer_registry.ts";
import { encodeRow, peerKey } from "../rows.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";

const OWN = { host: "10.0.0.1", port: 4_711 };
const PEER = { host: "10.0.0.2", port: 4_711, processorShare: 1 };
const BAD_VALUES = [
  new Uint8Array([0xc1, 1, 2]),
  encodeRow(PEER).subarray(0, 12),
  pack(null),
  pack({ address: "10.0.0.3:4711" }),
  pack({ ...PEER, port: 80_800 }),
  pack({ ...PEER, host: "a\r\nb" }),
  // As an earlier version wrote it.
  pack({ host: PEER.host, port: PEER.port }),
  pack({ ...PEER, processorShare: Number.NaN }),
  pack({ ...PEER, processorShare: 1e308 }),
];

function createRegistry(seeds: readonly HostPort[] = []) {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const follower = createFollower(store, clock);
  const common = { follower, store, clock, log: SILENT_LOG };
  const registry = PeerRegistry.create({
    ...common,
    settings: {
      entry: "own",
      peerAddress: OWN,
      processorShare: 1,
      seeds,
    } as unknown as CellSettings,
  });
  const lease = SchedulerLease.create({
    ...common,
    entry: "own",
    incarnation: "own-1",
    processorShare: 1,
    getProcessorShares: () => registry.processorShares,
    nowUnixMs: () => clock.nowMs(),
    random: { next: () => 0 },
  });
  clock.every(10, () => void follower.reload(0));
  const put = async (entry: string, value: Uint8Array) => {
    const puts = [{ key: peerKey(entry), value }];
    await store.transact({ conditions: [], puts, deletes: [] }, 1);
  };
  return { clock, store, registry, lease, put };
}

describe("announcements of entries that cannot be used", () => {
  // Guards against a row that ends the process of every entry, that hides the other peers, or that
  // keeps every entry from acquiring the lease or its holder from keeping it.
  it("are skipped, and the others count", async () => {
    for (const value of BAD_VALUES) {
      const { clock, registry, lease, put } = createRegistry();
      const errors = await collectUnhandledErrors(async () => {
        await put("bad", value);
        await put("good", encodeRow(PEER));
        lease.start();
        await clock.advance(2_500);
      });
      expect(errors).to.deep.equal([]);
      expect(registry.addresses).to.deep.equal([
        { host: PEER.host, port: PEER.port },
      ]);
      expect(registry.processorShares).to.deep.equal({ largest: 1, count: 1 });
      expect(lease.canAct()).to.equal(true);
      expect(lease.epoch).to.be.lessThan(4);
    }
  });

  it("end the use of a peer, until its row names one again", async () => {
    const { clock, store, registry, put } = createRegistry();
    const list = async () => {
      await clock.advance(50);
      return registry.addresses.map(({ host }) => host);
    };
    await put("good", encodeRow(PEER));
    expect(await list()).to.deep.equal([PEER.host]);
    await put("good", BAD_VALUES[0]!);
    expect(await list()).to.deep.equal([]);
    await put("good", encodeRow({ ...PEER, host: "10.0.0.3" }));
    expect(await list()).to.deep.equal(["10.0.0.3"]);
    const deletes = [peerKey("good")];
    await store.transact({ conditions: [], puts: [], deletes }, 1);
    expect(await list()).to.deep.equal([]);
  });

  // Guards against an entry whose announcement throws, and which no other entry then knows.
  it("are replaced if they are the entry's own", async () => {
    for (const value of BAD_VALUES) {
      const { clock, store, registry, put } = createRegistry();
      const errors = await collectUnhandledErrors(async () => {
        await put("own", value);
        await clock.advance(50);
        void registry.announce();
        await clock.advance(1_000);
      });
      expect(errors).to.deep.equal([]);
      expect(store.rows().get(peerKey("own"))?.value).to.deep.equal(
        encodeRow({ ...OWN, processorShare: 1 }),
      );
    }
  });
});
