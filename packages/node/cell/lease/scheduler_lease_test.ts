import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import {
  computeAcquireDelayMs,
  type ProcessorShares,
} from "./lease_priority.ts";
import { SchedulerLease } from "./scheduler_lease.ts";
import { SILENT_LOG } from "../log.ts";
import { decodeRow, encodeRow, LEASE_KEY, type LeaseRow } from "../rows.ts";
import {
  createFollower,
  createStoreFake,
  type StoreFake,
} from "../test_fixtures.ts";

const STEP_MS = 10;
/** An arbitrary wall-clock time. */
const UNIX_START_MS = 1_700_000_000_000;

/**
 * Creates an entry's lease over a shared store. While connected, its copy of the row is read every
 * step.
 */
function createEntry(
  name: string,
  store: StoreFake,
  clock: ManualClock,
  shares: { readonly own: number; readonly all: ProcessorShares } = {
    own: 1,
    all: { largest: 1, count: 2 },
  },
  incarnation = `${name}-1`,
) {
  const state = { isDisconnected: false };
  const unavailable = {
    kind: "unavailable",
    effect: "refused",
    reason: "cut",
  } as const;
  const own: StoreFake = {
    ...store,
    transact: (...call) =>
      state.isDisconnected
        ? Promise.resolve(unavailable)
        : store.transact(...call),
  };
  const follower = createFollower(own, clock);
  const lease = SchedulerLease.create({
    entry: name,
    incarnation,
    processorShare: shares.own,
    getProcessorShares: () => shares.all,
    store: own,
    follower,
    clock,
    nowUnixMs: () => UNIX_START_MS + clock.nowMs(),
    random: { next: () => 0 },
    log: SILENT_LOG,
  });
  clock.every(STEP_MS, () => {
    if (!state.isDisconnected) void follower.reload(0);
  });
  lease.start();
  return { lease, state };
}

describe("scheduler's lease", () => {
  it("has at most one holder that may act, even while the holder is disconnected", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const entries = [
      createEntry("a", store, clock),
      createEntry("b", store, clock),
      createEntry("c", store, clock),
    ];
    const epochs = new Set<number>();
    for (let step = 0; step < 1_500; step++) {
      await clock.advance(STEP_MS);
      const acting = entries.filter(({ lease }) => lease.canAct());
      expect(acting.length).to.be.at.most(1);
      for (const { lease, state } of acting) {
        if (lease.epoch !== undefined) epochs.add(lease.epoch);
        if (step % 400 === 200) state.isDisconnected = true;
      }
      if (step % 400 === 0) {
        entries.forEach(({ state }) => state.isDisconnected = false);
      }
    }
    expect(epochs.size).to.be.at.least(3);
  });

  it("is acquired by another entry at once after its release", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const first = createEntry("a", store, clock);
    await clock.advance(500);
    const second = createEntry("b", store, clock);
    await clock.advance(500);
    expect(first.lease.canAct()).to.equal(true);
    await first.lease.leave();
    await clock.advance(200);
    expect(first.lease.canAct()).to.equal(false);
    expect(second.lease.canAct()).to.equal(true);
  });

  it("is handed over to a much larger entry, and not repeatedly while that one is disconnected", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const all = { largest: 1.3, count: 3 };
    const small = [0, 1].map((number) =>
      createEntry(`small-${number}`, store, clock, { own: 0.3, all })
    );
    const large = createEntry("large", store, clock, { own: 1.3, all });
    large.state.isDisconnected = true;
    const countEpochs = async (durationMs: number): Promise<number> => {
      const epochs = new Set<number>();
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
        await clock.advance(STEP_MS);
        const acting = [...small, large].filter(({ lease }) => lease.canAct());
        expect(acting.length).to.be.at.most(1);
        acting.forEach(({ lease }) => epochs.add(lease.epoch ?? 0));
      }
      return epochs.size;
    };
    // One handover that the larger entry does not use, then none until the period is over.
    expect(await countEpochs(15_000)).to.equal(2);
    expect(large.lease.canAct()).to.equal(false);
    large.state.isDisconnected = false;
    await countEpochs(12_000);
    expect(large.lease.canAct()).to.equal(true);
    expect(await countEpochs(30_000)).to.equal(1);
  });

  it("lets the largest entry acquire first", () => {
    const all = { largest: 1.4, count: 3 };
    expect(computeAcquireDelayMs(0.7, { largest: 0.7, count: 3 })).to.equal(0);
    expect(computeAcquireDelayMs(0.7, { largest: 0, count: 0 })).to.equal(0);
    expect(computeAcquireDelayMs(1.4, all)).to.equal(0);
    expect(computeAcquireDelayMs(0.35, all)).to.be.greaterThan(
      computeAcquireDelayMs(0.7, all),
    );
  });

  /**
   * An entry whose process ends `tenureMs` after it has acquired the lease and starts again 200 ms
   * later, for `ends` times; returns how long after each start it acquired the lease, undefined if
   * another entry had it by then.
   */
  async function endRepeatedly(
    clock: ManualClock,
    store: StoreFake,
    { tenureMs, ends, shares }: {
      readonly tenureMs: number;
      readonly ends: number;
      readonly shares?: Parameters<typeof createEntry>[3];
    },
  ): Promise<readonly (number | undefined)[]> {
    const delaysMs: (number | undefined)[] = [];
    for (let process = 1; process <= ends; process++) {
      const name = `a-${process}`;
      const { lease, state } = createEntry("a", store, clock, shares, name);
      const startedMs = clock.nowMs();
      const isHeldByOther = () => {
        const row = store.rows().get(LEASE_KEY)?.value;
        return row !== undefined && decodeRow<LeaseRow>(row).holder !== "a";
      };
      while (lease.epoch === undefined && !isHeldByOther()) {
        await clock.advance(STEP_MS);
      }
      const isHeld = lease.epoch !== undefined;
      delaysMs.push(isHeld ? clock.nowMs() - startedMs : undefined);
      if (!isHeld) break;
      await clock.advance(tenureMs);
      state.isDisconnected = true;
      await clock.advance(200);
    }
    return delaysMs;
  }

  it("is taken back at once by a process that has restarted", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const [, delayMs] = await endRepeatedly(clock, store, {
      tenureMs: 500,
      ends: 2,
    });
    expect(delayMs).to.be.lessThan(150);
  });

  it("is taken back at once after each tenure that was long enough", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const options = { tenureMs: 70_000, ends: 5 };
    const delaysMs = await endRepeatedly(clock, store, options);
    delaysMs.forEach((delayMs) => expect(delayMs).to.be.lessThan(150));
  });

  // Guards against a lease that stays for ever with an entry whose process ends again and again, as
  // one that is killed for its memory.
  it("is left to another entry by a process that ends again and again", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const all = { largest: 1.4, count: 2 };
    // The smaller entry acquires it only after the larger one has had the time to.
    const other = createEntry("b", store, clock, { own: 0.3, all });
    const delaysMs = await endRepeatedly(clock, store, {
      tenureMs: 500,
      ends: 10,
      shares: { own: 1.4, all },
    });
    expect(delaysMs).to.have.lengthOf(3);
    expect(delaysMs[1]).to.be.lessThan(150);
    expect(delaysMs[2]).to.equal(undefined);
    expect(other.lease.canAct()).to.equal(true);
    // It is larger, but does not get the lease back soon.
    await clock.advance(15_000);
    expect(other.lease.canAct()).to.equal(true);
  });

  it("is taken again after its duration by such a process if no other wants it", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const options = { tenureMs: 500, ends: 5 };
    const delaysMs = await endRepeatedly(clock, store, options);
    expect(delaysMs).to.have.lengthOf(5);
    for (const delayMs of delaysMs.slice(2)) {
      expect(delayMs).to.be.within(1_300, 1_500);
    }
  });

  it("is taken back at once if an earlier version's process held it", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const value = encodeRow({
      holder: "a",
      incarnation: "a-0",
      epoch: 3,
      beat: 7,
      isReleased: false,
      handedOverUnixMs: 0,
    });
    const puts = [{ key: LEASE_KEY, value }];
    await store.transact({ conditions: [], puts, deletes: [] }, 1);
    const { lease } = createEntry("a", store, clock);
    await clock.advance(150);
    expect(lease.epoch).to.equal(4);
  });

  it("is given up once its scheduler has failed, later after each time", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    const { lease } = createEntry("a", store, clock);
    const acquiredMs: number[] = [];
    lease.changes.subscribe((change) => {
      if (change.kind !== "acquired") return;
      acquiredMs.push(clock.nowMs());
      lease.giveUp(change.epoch, "round");
      // One of an earlier epoch changes nothing.
      lease.giveUp(change.epoch - 1, "start");
    });
    await clock.advance(400_000);
    const delaysMs = acquiredMs.slice(1).map((atMs, index) =>
      atMs - acquiredMs[index]!
    );
    // With the time for which the entry leaves the lease to others.
    const tenuresMs = [0, 2, 4, 8, 16, 32, 60, 60, 60].map((s) => s * 1_000);
    tenuresMs.forEach((tenureMs, index) =>
      expect(delaysMs[index]).to.be.within(tenureMs, tenureMs + 1_500)
    );
  });
});
