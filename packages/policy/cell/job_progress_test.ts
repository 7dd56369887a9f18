/** Tests of job progress and of job ranks. */
import type { ServiceName } from "@coltsfootpond/common";
import { expect } from "chai";
import { JobProgress } from "./job_progress.ts";
import type { CellJobId, CellJobSpec, QueueName, StepSpec } from "./types.ts";
import { computeCriticalPathMs, RANK_TIER, rankJob } from "./job_rank.ts";

function step(overrides: Partial<StepSpec> = {}): StepSpec {
  return {
    count: 2,
    need: { cpuMilli: 0, memoryMib: 0, accelerators: 1 },
    estimateMs: 1_000,
    after: [],
    savesProgress: false,
    isGang: false,
    isRackBound: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
    ...overrides,
  };
}

function spec(overrides: Partial<CellJobSpec> = {}): CellJobSpec {
  return {
    jobId: "00000000000000aa" as CellJobId,
    queue: "queue" as QueueName,
    service: "service" as ServiceName,
    organisation: undefined,
    priority: 1,
    maximumAttempts: 2,
    stretch: 2,
    allowanceMs: 500,
    acceptedUnixMs: 0,
    payload: "",
    steps: [step(), step({ after: [0], isGang: true })],
    recurrence: undefined,
    ...overrides,
  };
}

const unitAt = (occurrence: number, number: number, index: number) => ({
  occurrence,
  step: number,
  index,
});

describe("JobProgress", () => {
  // Guards against crashes that a later lease holder does not know of.
  it("keeps the crashes of units in its record until a run lasts", () => {
    const unit = unitAt(0, 0, 1);
    const progress = JobProgress.create(spec());
    for (const [position, machine] of ["a:1", "b:1", "c:1"].entries()) {
      expect(progress.findFailure()).to.equal(undefined);
      const crash = { run: position, evidence: "at_start", machine } as const;
      progress.recordCrash(unit, crash);
    }
    const copy = JobProgress.create(spec(), progress.toRecord());
    expect(copy.findFailure()).to.deep.equal({ reason: "crashes", unit });
    copy.clearCrashes(unit);
    expect(copy.isFailed()).to.equal(false);
    const [step] = Object.values(copy.toRecord());
    expect(step).to.not.have.property("crashes");
  });

  it("counts a run once however many of its tasks crashed", () => {
    const unit = unitAt(0, 1, 0);
    const progress = JobProgress.create(spec());
    for (const evidence of ["uncertain", "at_start", "uncertain"] as const) {
      progress.recordCrash(unit, { run: 7, evidence, machine: "a:1" });
    }
    expect(progress.getCrashes(unit)).to.deep.equal([
      { run: 7, evidence: "at_start", machine: "a:1" },
    ]);
  });

  it("makes a step due only when all tasks of the steps before it are done", () => {
    const progress = JobProgress.create(spec());
    expect(progress.isDue(0, 1, 0)).to.equal(false);
    progress.recordDone(unitAt(0, 0, 0));
    expect(progress.isDue(0, 1, 0)).to.equal(false);
    progress.recordDone(unitAt(0, 0, 1));
    expect(progress.isDue(0, 1, 0)).to.equal(true);
    // A gang is one unit, so one record marks all of its tasks as done.
    progress.recordDone(unitAt(0, 1, 0));
    expect(progress.isComplete()).to.equal(true);
  });

  it("counts a failed run once and fails the job at the queue's attempt limit", () => {
    const progress = JobProgress.create(spec());
    progress.recordFailure(unitAt(0, 0, 0), 7);
    progress.recordFailure(unitAt(0, 0, 0), 7);
    progress.recordFailure(unitAt(0, 0, 1), 8);
    expect(progress.isFailed()).to.equal(false);
    progress.recordFailure(unitAt(0, 0, 0), 9);
    expect(progress.isFailed()).to.equal(true);
  });

  it("never marks a persistent step as failed or complete", () => {
    const progress = JobProgress.create(
      spec({ steps: [step({ isPersistent: true })] }),
    );
    for (const run of [1, 2, 3]) progress.recordFailure(unitAt(0, 0, 0), run);
    progress.recordDone(unitAt(0, 0, 0));
    progress.recordDone(unitAt(0, 0, 1));
    expect(progress.isFailed()).to.equal(false);
    expect(progress.isComplete()).to.equal(false);
  });

  // Guards against a record that grows with each failure until the store can't take it.
  it("records no failures of persistent steps, also from an earlier record", () => {
    const persistent = spec({ steps: [step({ isPersistent: true })] });
    const progress = JobProgress.create(persistent, {
      "0.0": { done: [], failures: [[0, 1]], checkpoints: [] },
    });
    for (let run = 2; run < 1_000; run++) {
      progress.recordFailure(unitAt(0, 0, 1), run);
    }
    expect(progress.toRecord()["0.0"]?.failures).to.deep.equal([]);
  });

  it("makes no occurrence due before its time and lets occurrences overlap", () => {
    const recurrence = { times: 2, firstRunUnixMs: 1_000, intervalMs: 500 };
    const progress = JobProgress.create(spec({ recurrence }));
    expect(progress.isDue(0, 0, 999)).to.equal(false);
    expect(progress.isDue(0, 0, 1_000)).to.equal(true);
    expect(progress.isDue(1, 0, 1_499)).to.equal(false);
    expect(progress.isDue(1, 0, 1_500)).to.equal(true);
  });

  it("is unchanged after a round trip through its stored record", () => {
    const progress = JobProgress.create(spec());
    progress.recordDone(unitAt(0, 0, 1));
    progress.recordFailure(unitAt(0, 0, 0), 3);
    progress.recordCheckpoint(unitAt(0, 0, 0), "saved");
    const record = JSON.parse(JSON.stringify(progress.toRecord()));
    const restored = JobProgress.create(spec(), record);
    expect(restored.toRecord()).to.deep.equal(progress.toRecord());
    expect(restored.getCheckpoint(unitAt(0, 0, 0))).to.equal("saved");
  });
});

describe("rankJob", () => {
  const input = {
    spec: spec(),
    criticalPathMs: 2_000,
    remainingCriticalPathMs: 2_000,
    workMs: 100,
    remainingWorkMs: 100,
    meanWorkMs: 100,
    ageMs: 0,
    isGuaranteed: false,
  };

  it("lowers the density once the objective cannot be met and ranks worthless jobs last", () => {
    // The objective is 2 x 2,000 + 500 ms; past three times that a job has no value.
    const inTime = rankJob({ ...input, ageMs: 2_500 });
    const late = rankJob({ ...input, ageMs: 2_501 });
    const lost = rankJob({ ...input, ageMs: 11_501 });
    expect(late.density).to.be.lessThan(inTime.density);
    expect([inTime.tier, late.tier, lost.tier]).to.deep.equal([
      RANK_TIER.ORDINARY,
      RANK_TIER.ORDINARY,
      RANK_TIER.WORTHLESS,
    ]);
    expect(rankJob({ ...input, isGuaranteed: true }).tier).to.equal(
      RANK_TIER.GUARANTEED,
    );
  });

  it("computes the critical path of the steps that are not done", () => {
    const steps = [
      step({ estimateMs: 100 }),
      step({ estimateMs: 900 }),
      step({ estimateMs: 200, after: [0] }),
    ];
    expect(computeCriticalPathMs(steps)).to.equal(900);
    expect(computeCriticalPathMs(steps, (number) => number === 1)).to.equal(
      300,
    );
  });
});
