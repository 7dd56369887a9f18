/** Tests of which reports and ends become samples of a worker's speed. */
import {
  ManualClock,
  type RackName,
  type WorkerName,
} from "@coltsfootpond/common";
import type { SpeedSample, StepSpec } from "@coltsfootpond/policy";
import { expect } from "chai";
import { createTaskRun, type Unit } from "../live_job.ts";
import { type TaskRun, updateFromReport } from "../task_run.ts";
import { createJob, createStep } from "../test_fixtures.ts";
import type { WorkerSession } from "../worker_session.ts";
import { SpeedSampler } from "./speed_sampler.ts";

interface Played {
  readonly sampler: SpeedSampler;
  readonly session: WorkerSession;
  readonly taskRun: TaskRun;
  readonly clock: ManualClock;
  readonly samples: SpeedSample[];
  /** Reports the percentage after the given time. */
  report(afterMs: number, percent: number): Promise<void>;
  end(afterMs: number): Promise<void>;
}

function play(step: Partial<StepSpec> = {}, checkpoint = ""): Played {
  const job = createJob("00000000000000aa", { steps: [createStep(step)] });
  const address = { occurrence: 0, step: 0, index: 0 };
  job.progress.recordCheckpoint(address, checkpoint);
  job.openDueUnits(0, 0);
  const unit = [...job.units.values()][0] as Unit;
  const taskRun = createTaskRun(unit, 0, 1);
  taskRun.startSentMs = 0;
  const clock = ManualClock.create();
  const samples: SpeedSample[] = [];
  const session = {
    worker: "a" as WorkerName,
    incarnationStartUnixMs: 7,
    taskRuns: [taskRun],
    record: { rack: "near" as RackName },
  } as unknown as WorkerSession;
  const sampler = SpeedSampler.create({
    clock,
    getUnit: () => unit,
    onSample: (sample) => void samples.push(sample),
  });
  return {
    sampler,
    session,
    taskRun,
    clock,
    samples,
    report: async (afterMs, percent) => {
      await clock.advance(afterMs);
      const nowMs = clock.nowMs();
      updateFromReport(taskRun, { ...taskRun, percent }, nowMs, nowMs);
      sampler.recordReport(session);
    },
    end: async (afterMs) => {
      await clock.advance(afterMs);
      const { task, run } = taskRun;
      sampler.recordEnd(
        session,
        { sequence: 1, task, run, end: "done", checkpoint: "" },
        taskRun,
      );
    },
  };
}

/** Percent in a second, rounded. */
function listRates(samples: readonly SpeedSample[]): readonly number[] {
  return samples.map(({ ratePerMs }) => Math.round(ratePerMs * 100_000));
}

describe("samples of a worker's speed", () => {
  it("are the progress between reports, and between a report and the end", async () => {
    const played = play();
    await played.report(1_000, 10);
    await played.report(1_000, 30);
    await played.report(1_000, 50);
    await played.end(1_500);
    // From the 30% at 2 s to the end at 4.5 s.
    expect(listRates(played.samples)).to.deep.equal([20, 20, 28]);
    expect(played.samples[0]).to.include({
      worker: "a",
      incarnationStartUnixMs: 7,
      stepKey: "00000000000000aa.0.0",
      isUpperBound: false,
    });
  });

  // Guards against rates of which the rounding of percentages is the larger part.
  it("need some progress, and are upper bounds without it", async () => {
    const played = play();
    await played.report(1_000, 10);
    await played.report(400, 14);
    expect(played.samples).to.deep.equal([]);
    await played.report(600, 14);
    expect(listRates(played.samples)).to.deep.equal([5]);
    expect(played.samples[0]?.isUpperBound).to.equal(true);
  });

  // Guards against an earlier rate that hides for seconds that the worker has become slow.
  it("show the present rate of a task that has slowed down", async () => {
    const played = play();
    await played.report(1_000, 10);
    await played.report(1_000, 40);
    await played.report(1_000, 45);
    expect(listRates(played.samples)).to.deep.equal([30, 5]);
  });

  // Guards against the time of a restore that counts as slow progress.
  it("leave out the time until a restored task makes progress", async () => {
    const played = play({ savesProgress: true }, "text");
    await played.report(500, 40);
    await played.report(1_000, 40);
    await played.report(1_000, 50);
    expect(played.samples).to.deep.equal([]);
    await played.report(1_000, 70);
    expect(listRates(played.samples)).to.deep.equal([20]);
  });

  // Guards against slow workers that are in fact held back by others, by distance or by priority.
  const excluded: readonly (readonly [string, Partial<StepSpec>])[] = [
    ["members of gangs", { isGang: true, count: 2 }],
    ["tasks away from their data", { dataRack: "far" as RackName }],
    ["tasks of filler steps", { isFiller: true }],
    ["persistent tasks", { isPersistent: true }],
  ];
  for (const [name, step] of excluded) {
    it(`are not taken from ${name}`, async () => {
      const played = play(step);
      await played.report(1_000, 10);
      await played.report(1_000, 30);
      await played.end(500);
      expect(played.samples).to.deep.equal([]);
    });
  }

  it("are not taken from tasks that are being stopped", async () => {
    const played = play({ dataRack: "near" as RackName });
    await played.report(1_000, 10);
    await played.report(1_000, 30);
    played.taskRun.isStopping = true;
    await played.report(1_000, 30);
    await played.end(500);
    expect(played.samples).to.have.length(1);
  });

  // Guards against a slow connection that counts as a slow worker.
  it("are not taken from ends that arrive late", async () => {
    const played = play();
    await played.report(1_000, 10);
    await played.report(1_000, 30);
    await played.end(3_000);
    expect(played.samples).to.have.length(1);
  });
});
