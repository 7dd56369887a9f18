import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import {
  computeAcquireDelayMs,
  type ProcessorShares,
} from "./lease_priority.ts";
import { SchedulerLease } from "./scheduler_lease.ts";
import { SILENT_LOG } from "../log.ts";
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
    incarnation: `${name}-1`,
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
});
