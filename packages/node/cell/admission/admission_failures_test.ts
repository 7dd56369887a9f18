/** Tests of admission from the lease holder's rounds to an entry's decision, while parts fail. */
import { brandId, type FailureDomainName } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import { expect } from "chai";
import { JobRepository } from "../callers/job_repository.ts";
import { CellSimulation } from "../cell_simulation.ts";
import { RENEW_PERIOD_MS } from "../lease/lease_times.ts";
import { SILENT_LOG } from "../log.ts";
import { encodeRow, LEASE_KEY, refusalKey } from "../rows.ts";
import { createFollower, createSpec, createStep } from "../test_fixtures.ts";
import { AdmissionGate } from "./admission_gate.ts";
import { PublishedLoad } from "./published_load.ts";

const NEED = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 };
const FOLLOW_PERIOD_MS = 100;
const JOBS = 60;

/** A cell of two workers with four minutes of work for one, and an entry that follows the store. */
async function createOverloadedCell() {
  const simulation = CellSimulation.create(["a", "b"]);
  const { clock, store } = simulation;
  const holder = { epoch: 1, isAlive: true };
  let isCutOff = false;
  let beat = 0;
  clock.every(RENEW_PERIOD_MS, () => {
    if (!holder.isAlive) return;
    const row = {
      holder: "front-1",
      incarnation: "i",
      epoch: holder.epoch,
      beat: ++beat,
      isReleased: false,
      handedOverUnixMs: 0,
    };
    const puts = [{ key: LEASE_KEY, value: encodeRow(row) }];
    void store.transact({ conditions: [], puts, deletes: [] }, 1);
  });
  const follower = createFollower(store, clock);
  clock.every(FOLLOW_PERIOD_MS, () => {
    if (!isCutOff) void follower.reload(0);
  });
  const gate = AdmissionGate.create({
    entry: "front-2",
    failureDomain: brandId<FailureDomainName>("domain"),
    load: PublishedLoad.create({
      follower,
      clock,
      log: SILENT_LOG,
      getStoreDownMs: () => 0,
    }),
    jobRepository: JobRepository.create({
      store,
      follower,
      clock,
      getStoreDownMs: () => 0,
      nowUnixMs: () => clock.nowMs(),
    }),
    log: SILENT_LOG,
  });
  let number = 0;
  const startHolder = () => {
    const scheduler = simulation.startScheduler(() => holder.isAlive);
    return () => simulation.stopScheduler(scheduler);
  };
  const stop = startHolder();
  await clock.advance(1_000);
  for (let job = 0; job < JOBS; job++) {
    await simulation.submit(createSpec(`${job}`.padStart(16, "0"), {
      steps: [createStep({ need: NEED, estimateMs: 4_000 })],
      acceptedUnixMs: clock.nowMs(),
      // They stay on time, so that they come before the jobs of the checks.
      stretch: 100,
    }));
  }
  await clock.advance(2_000);
  return {
    simulation,
    clock,
    holder,
    stop,
    startHolder,
    setCutOff: (cut: boolean) => (isCutOff = cut),
    /** Outcome for a wide job, which comes after all that wait. */
    check: async () => {
      const jobId = `f${number++}`.padEnd(16, "0") as CellJobId;
      const { kind } = await gate.check(
        createSpec(jobId, {
          steps: [createStep({ count: 8, need: NEED, estimateMs: 4_000 })],
        }),
        [],
        clock.nowMs() + 1_000,
      );
      const isBarred = store.keys().includes(refusalKey(jobId));
      expect(isBarred).to.equal(kind === "refused_now");
      return kind;
    },
  };
}

describe("admission in the cell", () => {
  it("refuses by the load of the lease holder, until that is lost, and by that of the next", async () => {
    const cell = await createOverloadedCell();
    const { clock, holder } = cell;
    expect(await cell.check()).to.equal("refused_now");
    holder.isAlive = false;
    cell.stop();
    await clock.advance(1_000);
    expect(await cell.check()).to.equal("refused_now");
    await clock.advance(2_500);
    expect(await cell.check()).to.equal("pass");
    Object.assign(holder, { isAlive: true, epoch: 2 });
    cell.startHolder();
    await clock.advance(RENEW_PERIOD_MS + FOLLOW_PERIOD_MS);
    // The row of the first epoch is still in the store.
    expect(await cell.check()).to.equal("pass");
    await clock.advance(3_000);
    expect(await cell.check()).to.equal("refused_now");
  });

  // Guards against decisions by a load that the entry cannot know to be recent.
  it("admits at an entry that is cut off for 3 s, and decides again after the cut", async () => {
    const cell = await createOverloadedCell();
    const { clock } = cell;
    cell.setCutOff(true);
    // The row may have been 1 s old at the cut.
    await clock.advance(1_500);
    expect(await cell.check()).to.equal("refused_now");
    await clock.advance(2_000);
    expect(await cell.check()).to.equal("pass");
    cell.setCutOff(false);
    await clock.advance(2 * FOLLOW_PERIOD_MS);
    expect(await cell.check()).to.equal("refused_now");
  });

  it("admits once the backlog is gone", async () => {
    const cell = await createOverloadedCell();
    for (let worker = 0; worker < JOBS; worker++) {
      cell.simulation.addWorker(`w${worker}`);
    }
    await cell.clock.advance(4_000);
    expect(await cell.check()).to.equal("pass");
  });
});
