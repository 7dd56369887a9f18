/** Tests of the scheduler's lease when its row cannot be decoded. */
import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { pack } from "msgpackr";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { SILENT_LOG } from "../log.ts";
import { encodeRow, LEASE_KEY, type LeaseRow } from "../rows.ts";
import {
  createFollower,
  createStoreFake,
  type StoreFake,
} from "../test_fixtures.ts";
import { SCHEDULER_LEASE_MS } from "./lease_times.ts";
import { SchedulerLease } from "./scheduler_lease.ts";

const STEP_MS = 10;
const LEASE: LeaseRow = {
  holder: "earlier",
  incarnation: "i",
  epoch: 7,
  beat: 100,
  isReleased: true,
  handedOverUnixMs: 0,
};
const BAD_VALUES = [
  new Uint8Array([0xc1, 1, 2]),
  encodeRow(LEASE).subarray(0, 30),
  pack(null),
  pack({ term: 7 }),
  pack({ ...LEASE, epoch: Number.NaN }),
  pack({ ...LEASE, epoch: 1e300 }),
  pack({ ...LEASE, beat: "100" }),
];

/** Writes the row as another writer does. */
async function putLease(store: StoreFake, value: Uint8Array): Promise<void> {
  const puts = [{ key: LEASE_KEY, value }];
  await store.transact({ conditions: [], puts, deletes: [] }, 1);
}

function createEntry(entry: string, store: StoreFake, clock: ManualClock) {
  const follower = createFollower(store, clock);
  const lease = SchedulerLease.create({
    entry,
    incarnation: `${entry}-1`,
    processorShare: 1,
    getProcessorShares: () => ({ largest: 1, count: 2 }),
    store,
    follower,
    clock,
    nowUnixMs: () => clock.nowMs(),
    random: { next: () => 0 },
    log: SILENT_LOG,
  });
  clock.every(STEP_MS, () => void follower.reload(0));
  lease.start();
  return { lease, follower };
}

/** A store whose row has been written this often, each time with the next epoch. */
async function createUsedStore(epochs: number): Promise<StoreFake> {
  const store = createStoreFake();
  for (let epoch = 1; epoch <= epochs; epoch++) {
    await putLease(store, encodeRow({ ...LEASE, epoch }));
  }
  return store;
}

describe("a row of the scheduler's lease that cannot be decoded", () => {
  // Guards against a row that ends the processes of all entries, or that nobody ever replaces.
  it("is replaced after the time of the lease, with a higher epoch than any before", async () => {
    const epochs = 20;
    for (const value of BAD_VALUES) {
      const clock = ManualClock.create();
      const store = await createUsedStore(epochs);
      await putLease(store, value);
      const entries = ["a", "b"].map((name) => createEntry(name, store, clock));
      const countHolders = () =>
        entries.filter(({ lease }) => lease.canAct()).length;
      const errors = await collectUnhandledErrors(async () => {
        await clock.advance(SCHEDULER_LEASE_MS - 100);
        expect(countHolders()).to.equal(0);
        await clock.advance(300);
      });
      expect(errors).to.deep.equal([]);
      expect(countHolders()).to.equal(1);
      const [epoch] = entries.flatMap(({ lease }) => lease.epoch ?? []);
      expect(epoch).to.be.greaterThan(epochs);
      expect(epoch).to.equal(epochs + 2);
    }
  });

  it("is not replaced while another writer renews it", async () => {
    const clock = ManualClock.create();
    const store = await createUsedStore(1);
    const { lease } = createEntry("a", store, clock);
    for (let beat = 0; beat < 20; beat++) {
      await putLease(store, pack({ term: 7, beat }));
      await clock.advance(250);
      expect(lease.canAct()).to.equal(false);
    }
  });

  // Guards against a holder that goes on beside the one that has written the row.
  it("takes the lease from its holder, which acquires it again later", async () => {
    for (const value of BAD_VALUES) {
      const clock = ManualClock.create();
      const store = createStoreFake();
      const { lease } = createEntry("a", store, clock);
      const changes: string[] = [];
      lease.changes.subscribe(({ kind }) => changes.push(kind));
      const errors = await collectUnhandledErrors(async () => {
        await clock.advance(500);
        expect(lease.canAct()).to.equal(true);
        const { epoch: before = 0 } = lease;
        await putLease(store, value);
        await clock.advance(50);
        expect(lease.canAct()).to.equal(false);
        expect(changes).to.deep.equal(["acquired", "lost"]);
        await clock.advance(SCHEDULER_LEASE_MS + 100);
        expect(lease.canAct()).to.equal(true);
        expect(lease.epoch).to.be.greaterThan(before);
      });
      expect(errors).to.deep.equal([]);
    }
  });

  it("does not lower the epoch below one that another writer has put above the versions", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    await putLease(store, encodeRow({ ...LEASE, epoch: 1_000 }));
    const { lease } = createEntry("a", store, clock);
    await clock.advance(500);
    expect(lease.epoch).to.equal(1_001);
    await putLease(store, BAD_VALUES[0]!);
    await clock.advance(SCHEDULER_LEASE_MS + 100);
    expect(lease.epoch).to.equal(1_002);
  });

  // Guards against epochs that begin anew, which all workers refuse, once an operator has deleted the
  // row, and against a holder that never notices.
  it("may be deleted, and the epochs go on", async () => {
    const clock = ManualClock.create();
    const store = await createUsedStore(20);
    const { lease } = createEntry("a", store, clock);
    const deleteRow = async () => {
      const deletes = [LEASE_KEY];
      await store.transact({ conditions: [], puts: [], deletes }, 1);
      await clock.advance(50);
      // Another holder may not have seen the deletion yet.
      expect(lease.canAct()).to.equal(false);
      await clock.advance(SCHEDULER_LEASE_MS + 100);
    };
    await clock.advance(500);
    await deleteRow();
    const { epoch: first = 0 } = lease;
    expect(first).to.be.greaterThan(20);
    await deleteRow();
    expect(lease.canAct()).to.equal(true);
    expect(lease.epoch).to.be.greaterThan(first);
  });

  // Guards against an error at each check of the lease, so that the entry never acquires it again.
  it("may have counts of tenures that are none", async () => {
    for (const count of [2n ** 63n, "4", Number.NaN, 1e308, {}]) {
      const clock = ManualClock.create();
      const store = createStoreFake();
      const tenures = {
        acquiredBeat: count,
        shortTenures: count,
        failures: count,
      };
      const row = { ...LEASE, holder: "a", isReleased: false, ...tenures };
      await putLease(store, pack(row));
      const { lease } = createEntry("a", store, clock);
      const errors = await collectUnhandledErrors(async () => {
        await clock.advance(SCHEDULER_LEASE_MS + 200);
      });
      expect(errors).to.deep.equal([]);
      expect(lease.canAct()).to.equal(true);
    }
  });
});
