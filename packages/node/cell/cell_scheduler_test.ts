import { expect } from "chai";
import { CellSimulation } from "./cell_simulation.ts";
import { createSpec, createStep } from "./test_fixtures.ts";

const JOB = "00000000000000cc";

describe("cell scheduler", () => {
  it("runs the steps of a job in order and stores its end", async () => {
    const world = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB, {
      steps: [createStep({ count: 2 }), createStep({ after: [0] })],
    });
    await world.submit(spec);
    world.startScheduler();
    await world.clock.advance(1_000);
    expect(world.history.map(({ task }) => task).sort()).to.deep.equal([
      `${JOB}.0.0.0`,
      `${JOB}.0.0.1`,
    ]);
    world.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await world.clock.advance(1_000);
    expect(world.runsOf(`${JOB}.0.1.0`)).to.have.length(1);
    world.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await world.clock.advance(1_000);
    expect(world.readJob(spec)).to.include({ state: "completed" });
  });

  it("fails a job after its attempts and starts it no more", async () => {
    const world = CellSimulation.create(["a", "b", "c", "d"]);
    const spec = createSpec(JOB, { maximumAttempts: 2 });
    await world.submit(spec);
    world.startScheduler();
    for (let second = 0; second < 20; second++) {
      await world.clock.advance(1_000);
      world.workers.forEach((worker) =>
        worker.running.forEach((task) => worker.end(task, "failed"))
      );
    }
    expect(world.history).to.have.length(2);
    expect(world.readJob(spec)).to.include({ state: "failed" });
  });

  it("never runs a task twice when its start is carried out late", async () => {
    const world = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB, {
      steps: [createStep({ count: 2, isGang: true })],
    });
    await world.submit(spec);
    world.get("a").startDelayMs = 2_000;
    world.startScheduler();
    await world.clock.advance(900);
    world.get("a").startDelayMs = undefined;
    await world.clock.advance(8_000);
    expect(world.countOverlaps()).to.equal(0);
    const running = [...world.workers.values()].flatMap((worker) =>
      worker.running
    );
    expect(running).to.have.length(2);
  });

  it("starts tasks of a cut worker elsewhere only after their lease", async () => {
    const world = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB);
    await world.submit(spec);
    world.startScheduler();
    await world.clock.advance(3_000);
    const cut = [...world.workers.values()].find(({ running }) =>
      running.length > 0
    )!;
    cut.isCut = true;
    await world.clock.advance(20_000);
    expect(world.countOverlaps()).to.equal(0);
    expect(world.history).to.have.length(2);
    expect(world.history[0]!.end).to.equal("lapsed");
  });

  it("takes running tasks over from a holder that died", async () => {
    const world = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB, { steps: [createStep({ count: 4 })] });
    await world.submit(spec);
    const first = world.startScheduler();
    await world.clock.advance(1_000);
    first.stop();
    await world.clock.advance(1_000);
    world.startScheduler();
    await world.clock.advance(5_000);
    expect(world.history).to.have.length(4);
    expect(world.countOverlaps()).to.equal(0);
  });

  it("takes a later step over although the end of the earlier one is not stored", async () => {
    // The worker of the later step reports before the one that lists the end.
    const world = CellSimulation.create(["later", "earlier"]);
    const spec = createSpec(JOB, {
      steps: [
        createStep({ requiredLabel: "earlier" }),
        createStep({ count: 6, after: [0], requiredLabel: "later" }),
      ],
    });
    await world.submit(spec);
    world.workers.forEach((worker) => (worker.keepsEnds = true));
    const first = world.startScheduler();
    await world.clock.advance(1_000);
    world.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await world.clock.advance(1_000);
    expect(world.history).to.have.length(7);
    first.stop();
    await world.forgetProgress(spec);
    world.startScheduler();
    await world.clock.advance(5_000);
    expect(world.countOverlaps()).to.equal(0);
    expect(world.history).to.have.length(7);
  });

  it("starts nothing of old jobs while a worker may run it unseen", async () => {
    const world = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB);
    await world.submit(spec);
    const first = world.startScheduler();
    await world.clock.advance(1_000);
    first.stop();
    const holder = [...world.workers.values()].find(({ running }) =>
      running.length > 0
    )!;
    holder.isCut = true;
    world.startScheduler();
    await world.clock.advance(20_000);
    expect(world.countOverlaps()).to.equal(0);
    expect(world.history).to.have.length(2);
  });

  it("counts the end of a later step although the step is not known to be due", async () => {
    const world = CellSimulation.create(["later", "earlier"]);
    const spec = createSpec(JOB, {
      steps: [
        createStep({ requiredLabel: "earlier" }),
        createStep({ count: 2, after: [0], requiredLabel: "later" }),
      ],
    });
    await world.submit(spec);
    world.workers.forEach((worker) => (worker.keepsEnds = true));
    const first = world.startScheduler();
    await world.clock.advance(1_000);
    const endAll = () =>
      world.workers.forEach((worker) =>
        worker.running.forEach((task) => worker.end(task, "done"))
      );
    endAll();
    await world.clock.advance(1_000);
    first.stop();
    endAll();
    await world.forgetProgress(spec);
    world.startScheduler();
    await world.clock.advance(5_000);
    expect(world.history).to.have.length(3);
    expect(world.readJob(spec)).to.include({ state: "completed" });
  });

  it("holds back only what may run on a worker that has not reported", async () => {
    const world = CellSimulation.create(["a", "b"]);
    const waiting = createSpec("00000000000000ee", {
      steps: [createStep({ requiredLabel: "b", count: 9 })],
    });
    const spec = createSpec(JOB, {
      steps: [createStep({ requiredLabel: "a" })],
    });
    await world.submit(spec);
    await world.submit(waiting);
    const first = world.startScheduler();
    await world.clock.advance(1_000);
    first.stop();
    world.get("a").isCut = true;
    world.startScheduler();
    await world.clock.advance(1_000);
    const [task] = world.get("b").running;
    world.get("b").end(task!, "done");
    await world.clock.advance(500);
    // The ninth task was never placed, so it starts at once.
    expect(world.get("b").running).to.have.length(8);
    await world.clock.advance(20_000);
    expect(world.countOverlaps()).to.equal(0);
  });

  it("stops a run that makes no progress and starts it elsewhere", async () => {
    const world = CellSimulation.create(["a", "b"]);
    world.get("a").isHanging = true;
    await world.submit(createSpec(JOB));
    world.startScheduler();
    await world.clock.advance(6_000);
    expect(world.history.map(({ worker }) => worker)).to.deep.equal(["a", "b"]);
    expect(world.history[0]!.end).to.equal("stopped");
  });

  it("takes no run for one without progress while it may not ask", async () => {
    const world = CellSimulation.create(["a", "b"]);
    await world.submit(createSpec(JOB));
    let mayAct = true;
    world.startScheduler(() => mayAct);
    await world.clock.advance(2_000);
    mayAct = false;
    await world.clock.advance(3_500);
    mayAct = true;
    await world.clock.advance(2_000);
    expect(world.history).to.have.length(1);
    expect(world.history[0]!.end).to.equal(undefined);
  });

  it("sends no start before its placement is stored", async () => {
    const world = CellSimulation.create(["a", "b"]);
    await world.submit(createSpec(JOB));
    const { transact } = world.store;
    let isAway = false;
    world.store.transact = (...call) =>
      isAway
        ? Promise.resolve({
          kind: "unavailable",
          effect: "refused",
          reason: "test",
        })
        : transact(...call);
    // The names of the workers are stored before any is used; only placements are held up here.
    world.startScheduler();
    await world.clock.advance(6);
    isAway = true;
    await world.clock.advance(3_000);
    expect(world.history).to.have.length(0);
    isAway = false;
    await world.clock.advance(1_000);
    expect(world.history).to.have.length(1);
  });

  it("forgets jobs that ended long ago, and no others", async () => {
    const world = CellSimulation.create(["a"]);
    const ended = createSpec(JOB);
    const live = createSpec("f0000000000000ff");
    await world.submit(ended);
    world.startScheduler();
    await world.clock.advance(500);
    const [task] = world.get("a").running;
    world.get("a").end(task!, "done");
    await world.submit(live);
    await world.clock.advance(60_000);
    expect(world.readJob(ended)).to.include({ state: "completed" });
    await world.clock.advance(60_000);
    expect(world.readJob(ended)).to.equal(undefined);
    expect(world.readJob(live)).to.include({ kind: "live" });
  });
});
