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

const at = (occurrence: number, number: number, index: number) => ({
  occurrence,
  step: number,
  index,
});

describe("progress of a job", () => {
  it("makes a step due when all tasks before it are done", () => {
    const progress = JobProgress.create(spec());
    expect(progress.isDue(0, 1, 0)).to.equal(false);
    progress.recordDone(at(0, 0, 0));
    expect(progress.isDue(0, 1, 0)).to.equal(false);
    progress.recordDone(at(0, 0, 1));
    expect(progress.isDue(0, 1, 0)).to.equal(true);
    // One end of a gang stands for all of its tasks.
    progress.recordDone(at(0, 1, 0));
    expect(progress.isComplete()).to.equal(true);
  });

  it("counts a failed run once, and fails at the queue's attempts", () => {
    const progress = JobProgress.create(spec());
    progress.recordFailure(at(0, 0, 0), 7);
    progress.recordFailure(at(0, 0, 0), 7);
    progress.recordFailure(at(0, 0, 1), 8);
    expect(progress.isFailed()).to.equal(false);
    progress.recordFailure(at(0, 0, 0), 9);
    expect(progress.isFailed()).to.equal(true);
  });

  it("never fails or completes tasks that last", () => {
    const progress = JobProgress.create(
      spec({ steps: [step({ isPersistent: true })] }),
    );
    for (const run of [1, 2, 3]) progress.recordFailure(at(0, 0, 0), run);
    progress.recordDone(at(0, 0, 0));
    progress.recordDone(at(0, 0, 1));
    expect(progress.isFailed()).to.equal(false);
    expect(progress.isComplete()).to.equal(false);
  });

  it("starts no occurrence before its time, and lets them overlap", () => {
    const recurrence = { times: 2, firstRunUnixMs: 1_000, intervalMs: 500 };
    const progress = JobProgress.create(spec({ recurrence }));
    expect(progress.isDue(0, 0, 999)).to.equal(false);
    expect(progress.isDue(0, 0, 1_000)).to.equal(true);
    expect(progress.isDue(1, 0, 1_499)).to.equal(false);
    expect(progress.isDue(1, 0, 1_500)).to.equal(true);
  });

  it("is the same after it was stored", () => {
    const progress = JobProgress.create(spec());
    progress.recordDone(at(0, 0, 1));
    progress.recordFailure(at(0, 0, 0), 3);
    progress.recordCheckpoint(at(0, 0, 0), "saved");
    const record = JSON.parse(JSON.stringify(progress.toRecord()));
    const again = JobProgress.create(spec(), record);
    expect(again.toRecord()).to.deep.equal(progress.toRecord());
    expect(again.getCheckpoint(at(0, 0, 0))).to.equal("saved");
  });
});

describe("rank of a job", () => {
  const standing = {
    spec: spec(),
    criticalPathMs: 2_000,
    remainingCriticalPathMs: 2_000,
    workMs: 100,
    remainingWorkMs: 100,
    meanWorkMs: 100,
    ageMs: 0,
    isGuaranteed: false,
  };

  it("falls when the objective can no longer be met, and is last when all is lost", () => {
    // The objective is 2 x 2,000 + 500 ms; three times that earns nothing.
    const inTime = rankJob({ ...standing, ageMs: 2_500 });
    const late = rankJob({ ...standing, ageMs: 2_501 });
    const lost = rankJob({ ...standing, ageMs: 11_501 });
    expect(late.density).to.be.lessThan(inTime.density);
    expect([inTime.tier, late.tier, lost.tier]).to.deep.equal([
      RANK_TIER.ORDINARY,
      RANK_TIER.ORDINARY,
      RANK_TIER.WORTHLESS,
    ]);
    expect(rankJob({ ...standing, isGuaranteed: true }).tier).to.equal(
      RANK_TIER.GUARANTEED,
    );
  });

  it("reckons with the longest chain of steps", () => {
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
