import type { WorkerName } from "@coltsfootpond/common";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { VmFake } from "../fakes/vm_fake.ts";
import { LiveJob } from "../live_job.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const BROKEN_JOB = "000000000000000a";
const SOUND_JOB = "00000000000000cc";
const LATER_JOB = "00000000000000dd";

function fail(): never {
  throw new Error("broken part");
}

function createCell() {
  const simulation = CellSimulation.create(["a", "b"]);
  const failures = new Map<unknown, number>();
  simulation.log = {
    info: () => {},
    warn: (event, fields) => {
      if (event !== "background.failed") return;
      const activity = fields?.activity;
      failures.set(activity, (failures.get(activity) ?? 0) + 1);
    },
  };
  return { simulation, failures };
}

describe("a scheduler of which one part fails", () => {
  const createJob = LiveJob.create;
  const jobs = new Map<string, LiveJob>();

  beforeEach(() => {
    LiveJob.create = (options) => {
      const job = createJob(options);
      jobs.set(job.jobId, job);
      return job;
    };
  });

  afterEach(() => {
    LiveJob.create = createJob;
    jobs.clear();
  });

  // Guards against one job that stops the rounds of all.
  it("starts the other jobs while one cannot be planned, and that one later", async () => {
    const { simulation, failures } = createCell();
    const spec = createSpec(BROKEN_JOB, {
      // Too wide, so that it is still waiting when it breaks.
      steps: [createStep({ count: 17, isGang: true })],
    });
    await simulation.submit(spec);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const broken = jobs.get(BROKEN_JOB)!;
    broken.progress.isStepDone = fail;
    await simulation.submit(createSpec(SOUND_JOB));
    await simulation.clock.advance(2_000);
    expect(simulation.runsOf(`${SOUND_JOB}.0.0.0`)).to.have.length(1);
    // It is left out for 5 s after its first failure.
    expect(failures.get("schedule_round")).to.equal(1);
    Reflect.deleteProperty(broken.progress, "isStepDone");
    simulation.addWorker("c");
    await simulation.clock.advance(8_000);
    expect(simulation.runsOf(`${BROKEN_JOB}.0.0.0`)).to.have.length(1);
  });

  // Guards against one job whose error in a timer keeps the others from their occurrences.
  it("opens the occurrences of the other jobs while one fails", async () => {
    const { simulation, failures } = createCell();
    const recurrence = { times: 2, firstRunUnixMs: 2_000, intervalMs: 1_000 };
    for (const jobId of [BROKEN_JOB, SOUND_JOB]) {
      await simulation.submit(createSpec(jobId, { recurrence }));
    }
    simulation.startScheduler();
    await simulation.clock.advance(1_500);
    jobs.get(BROKEN_JOB)!.openDueUnits = fail;
    await simulation.clock.advance(2_500);
    expect(simulation.runsOf(`${SOUND_JOB}.0.0.0`)).to.have.length(1);
    expect(simulation.runsOf(`${SOUND_JOB}.1.0.0`)).to.have.length(1);
    expect(failures.get("tick")).to.be.greaterThan(0);
  });

  // Guards against an end that is acknowledged unread, so that finished work is done again.
  it("processes an end again that could not be processed", async () => {
    const { simulation, failures } = createCell();
    const steps = [createStep(), createStep({ after: [0] })];
    const spec = createSpec(SOUND_JOB, { steps });
    await simulation.submit(spec);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const { progress } = jobs.get(SOUND_JOB)!;
    progress.recordDone = () => {
      Reflect.deleteProperty(progress, "recordDone");
      fail();
    };
    const endAll = () =>
      simulation.workers.forEach((worker) =>
        worker.running.forEach((task) => worker.end(task, "done"))
      );
    endAll();
    await simulation.clock.advance(3_000);
    expect(simulation.runsOf(`${SOUND_JOB}.0.0.0`)).to.have.length(1);
    expect(simulation.runsOf(`${SOUND_JOB}.0.1.0`)).to.have.length(1);
    endAll();
    await simulation.clock.advance(1_000);
    expect(simulation.readJob(spec)).to.include({ state: "completed" });
    expect(failures.get("poll_worker")).to.equal(1);
  });

  // Guards against a failed round after which no other is planned, or others without a pause.
  it("goes on with rounds and renewals after rounds that failed", async () => {
    const { simulation, failures } = createCell();
    let isBroken = false;
    const { clock } = simulation;
    const vm = VmFake.create({ clock, startMs: 0, rate: 1, unixErrorMs: 0 });
    const nowUnixMs = vm.nowUnixMs.bind(vm);
    vm.nowUnixMs = () => isBroken ? fail() : nowUnixMs();
    await simulation.submit(createSpec(SOUND_JOB));
    simulation.startScheduler(undefined, undefined, vm);
    await clock.advance(2_000);
    expect(simulation.history).to.have.length(1);
    isBroken = true;
    // Longer than the longest lease.
    await clock.advance(10_000);
    expect(simulation.history[0]?.end).to.equal(undefined);
    expect(failures.get("schedule_round")).to.be.within(10, 60);
    isBroken = false;
    await simulation.submit(createSpec(LATER_JOB));
    await clock.advance(2_000);
    expect(simulation.runsOf(`${LATER_JOB}.0.0.0`)).to.have.length(1);
    expect(simulation.countOverlaps()).to.equal(0);
  });

  // Guards against one worker whose row breaks its session, so that the directory is never read again.
  it("reads the workers' records again after a read that failed", async () => {
    const { simulation, failures } = createCell();
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const { workers } = simulation;
    const { get } = workers;
    workers.get = (name: WorkerName) =>
      String(name) === "c" ? fail() : get.call(workers, name);
    simulation.addWorker("c");
    await simulation.clock.advance(2_000);
    expect(failures.get("read_workers")).to.be.greaterThan(0);
    Reflect.deleteProperty(workers, "get");
    await simulation.submit(createSpec(SOUND_JOB, {
      steps: [createStep({ requiredLabel: "c" })],
    }));
    await simulation.clock.advance(4_000);
    expect(simulation.get("c").running).to.have.length(1);
  });
});
