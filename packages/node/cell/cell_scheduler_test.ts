import { expect } from "chai";
import { CellSimulation } from "./cell_simulation.ts";
import { createSpec, createStep } from "./test_fixtures.ts";

const JOB = "00000000000000cc";

describe("cell scheduler", () => {
  it("runs the steps of a job in order and stores its end", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB, {
      steps: [createStep({ count: 2 }), createStep({ after: [0] })],
    });
    await simulation.submit(spec);
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    expect(simulation.history.map(({ task }) => task).sort()).to.deep.equal([
      `${JOB}.0.0.0`,
      `${JOB}.0.0.1`,
    ]);
    simulation.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await simulation.clock.advance(1_000);
    expect(simulation.runsOf(`${JOB}.0.1.0`)).to.have.length(1);
    simulation.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await simulation.clock.advance(1_000);
    expect(simulation.readJob(spec)).to.include({ state: "completed" });
  });

  it("fails a job after its last attempt and does not start it again", async () => {
    const simulation = CellSimulation.create(["a", "b", "c", "d"]);
    const spec = createSpec(JOB, { maximumAttempts: 2 });
    await simulation.submit(spec);
    simulation.startScheduler();
    for (let second = 0; second < 20; second++) {
      await simulation.clock.advance(1_000);
      simulation.workers.forEach((worker) =>
        worker.running.forEach((task) => worker.end(task, "failed"))
      );
    }
    expect(simulation.history).to.have.length(2);
    expect(simulation.readJob(spec)).to.include({ state: "failed" });
  });

  it("never runs a task twice when its start is carried out late", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB, {
      steps: [createStep({ count: 2, isGang: true })],
    });
    await simulation.submit(spec);
    simulation.get("a").startDelayMs = 2_000;
    simulation.startScheduler();
    await simulation.clock.advance(900);
    simulation.get("a").startDelayMs = undefined;
    await simulation.clock.advance(8_000);
    expect(simulation.countOverlaps()).to.equal(0);
    const running = [...simulation.workers.values()].flatMap((worker) =>
      worker.running
    );
    expect(running).to.have.length(2);
  });

  it("starts tasks of a disconnected worker elsewhere only after their lease has expired", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB);
    await simulation.submit(spec);
    simulation.startScheduler();
    await simulation.clock.advance(3_000);
    const disconnected = [...simulation.workers.values()].find(({ running }) =>
      running.length > 0
    )!;
    disconnected.isDisconnected = true;
    await simulation.clock.advance(20_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.history).to.have.length(2);
    expect(simulation.history[0]!.end).to.equal("lapsed");
  });

  it("uses a worker again that answers only after the leases of its tasks have expired", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const onWorkerA = { steps: [createStep({ requiredLabel: "a" })] };
    await simulation.submit(createSpec(JOB, onWorkerA));
    simulation.startScheduler();
    await simulation.clock.advance(3_000);
    expect(simulation.get("a").running).to.deep.equal([`${JOB}.0.0.0`]);
    simulation.get("a").isDisconnected = true;
    await simulation.clock.advance(20_000);
    simulation.get("a").isDisconnected = false;
    await simulation.clock.advance(3_000);
    expect(simulation.get("a").running).to.deep.equal([`${JOB}.0.0.0`]);
    expect(simulation.runsOf(`${JOB}.0.0.0`)).to.have.length(2);
    expect(simulation.countOverlaps()).to.equal(0);
  });

  it("counts an end that a worker lists only after the leases of its tasks have expired", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB, {
      steps: [createStep({ requiredLabel: "a" })],
    });
    await simulation.submit(spec);
    simulation.startScheduler();
    await simulation.clock.advance(3_000);
    simulation.get("a").isDisconnected = true;
    simulation.get("a").end(simulation.get("a").running[0]!, "done");
    await simulation.clock.advance(20_000);
    simulation.get("a").isDisconnected = false;
    await simulation.clock.advance(3_000);
    expect(simulation.readJob(spec)).to.include({ state: "completed" });
    expect(simulation.history).to.have.length(1);
  });

  it("starts a gang that needs workers which did not answer for some time", async () => {
    const simulation = CellSimulation.create(["a", "b", "c", "d"]);
    const other = createSpec("00000000000000aa", {
      steps: [createStep({ count: 2, maximumPerWorker: 1 })],
    });
    await simulation.submit(other);
    simulation.startScheduler();
    await simulation.clock.advance(3_000);
    const cut = [...simulation.workers.values()].filter(({ running }) =>
      running.length > 0
    );
    expect(cut).to.have.length(2);
    cut.forEach((worker) => (worker.isDisconnected = true));
    await simulation.clock.advance(20_000);
    simulation.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    const need = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };
    const gang = createSpec(JOB, {
      steps: [createStep({ count: 3, need, isGang: true, isRackBound: true })],
    });
    await simulation.submit(gang);
    cut.forEach((worker) => (worker.isDisconnected = false));
    await simulation.clock.advance(3_000);
    const running = [...simulation.workers.values()].flatMap((worker) =>
      worker.running
    );
    expect(running.sort()).to.deep.equal(
      [0, 1, 2].map((task) => `${JOB}.0.0.${task}`),
    );
  });

  it("adopts running tasks of a lease holder that stopped", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB, { steps: [createStep({ count: 4 })] });
    await simulation.submit(spec);
    const first = simulation.startScheduler();
    await simulation.clock.advance(1_000);
    first.stop();
    await simulation.clock.advance(1_000);
    simulation.startScheduler();
    await simulation.clock.advance(5_000);
    expect(simulation.history).to.have.length(4);
    expect(simulation.countOverlaps()).to.equal(0);
  });

  it("adopts tasks of a later step although the end of the earlier step is not stored", async () => {
    // The worker of the later step reports before the worker that lists the end of the earlier one.
    const simulation = CellSimulation.create(["later", "earlier"]);
    const spec = createSpec(JOB, {
      steps: [
        createStep({ requiredLabel: "earlier" }),
        createStep({ count: 6, after: [0], requiredLabel: "later" }),
      ],
    });
    await simulation.submit(spec);
    simulation.workers.forEach((worker) => (worker.keepsEnds = true));
    const first = simulation.startScheduler();
    await simulation.clock.advance(1_000);
    simulation.workers.forEach((worker) =>
      worker.running.forEach((task) => worker.end(task, "done"))
    );
    await simulation.clock.advance(1_000);
    expect(simulation.history).to.have.length(7);
    first.stop();
    await simulation.deleteProgress(spec);
    simulation.startScheduler();
    await simulation.clock.advance(5_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.history).to.have.length(7);
  });

  it("starts no task that a worker which has not reported may still run", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const spec = createSpec(JOB);
    await simulation.submit(spec);
    const first = simulation.startScheduler();
    await simulation.clock.advance(1_000);
    first.stop();
    const runningWorker = [...simulation.workers.values()].find(({ running }) =>
      running.length > 0
    )!;
    runningWorker.isDisconnected = true;
    simulation.startScheduler();
    await simulation.clock.advance(20_000);
    expect(simulation.countOverlaps()).to.equal(0);
    expect(simulation.history).to.have.length(2);
  });

  it("counts the end of a later step although the step does not seem due", async () => {
    const simulation = CellSimulation.create(["later", "earlier"]);
    const spec = createSpec(JOB, {
      steps: [
        createStep({ requiredLabel: "earlier" }),
        createStep({ count: 2, after: [0], requiredLabel: "later" }),
      ],
    });
    await simulation.submit(spec);
    simulation.workers.forEach((worker) => (worker.keepsEnds = true));
    const first = simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const endAll = () =>
      simulation.workers.forEach((worker) =>
        worker.running.forEach((task) => worker.end(task, "done"))
      );
    endAll();
    await simulation.clock.advance(1_000);
    first.stop();
    endAll();
    await simulation.deleteProgress(spec);
    simulation.startScheduler();
    await simulation.clock.advance(5_000);
    expect(simulation.history).to.have.length(3);
    expect(simulation.readJob(spec)).to.include({ state: "completed" });
  });

  it("blocks only units that may run on a worker that has not reported", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const waiting = createSpec("00000000000000ee", {
      steps: [createStep({ requiredLabel: "b", count: 9 })],
    });
    const spec = createSpec(JOB, {
      steps: [createStep({ requiredLabel: "a" })],
    });
    await simulation.submit(spec);
    await simulation.submit(waiting);
    const first = simulation.startScheduler();
    await simulation.clock.advance(1_000);
    first.stop();
    simulation.get("a").isDisconnected = true;
    simulation.startScheduler();
    await simulation.clock.advance(1_000);
    const [task] = simulation.get("b").running;
    simulation.get("b").end(task!, "done");
    await simulation.clock.advance(500);
    // The ninth task was never placed, so it starts at once.
    expect(simulation.get("b").running).to.have.length(8);
    await simulation.clock.advance(20_000);
    expect(simulation.countOverlaps()).to.equal(0);
  });

  it("stops a run that makes no progress and starts it elsewhere", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    simulation.get("a").isStalled = true;
    await simulation.submit(createSpec(JOB));
    simulation.startScheduler();
    await simulation.clock.advance(6_000);
    expect(simulation.history.map(({ worker }) => worker)).to.deep.equal([
      "a",
      "b",
    ]);
    expect(simulation.history[0]!.end).to.equal("stopped");
  });

  it("does not treat a run as stalled while it may not poll the worker", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    await simulation.submit(createSpec(JOB));
    let mayAct = true;
    simulation.startScheduler(() => mayAct);
    await simulation.clock.advance(2_000);
    mayAct = false;
    await simulation.clock.advance(3_500);
    mayAct = true;
    await simulation.clock.advance(2_000);
    expect(simulation.history).to.have.length(1);
    expect(simulation.history[0]!.end).to.equal(undefined);
  });

  it("sends no start before its placement is stored", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    await simulation.submit(createSpec(JOB));
    const { transact } = simulation.store;
    let isStoreDown = false;
    simulation.store.transact = (...call) =>
      isStoreDown
        ? Promise.resolve({
          kind: "unavailable",
          effect: "refused",
          reason: "test",
        })
        : transact(...call);
    // The roster of workers is stored before any worker is used; only the placements fail here.
    simulation.startScheduler();
    await simulation.clock.advance(6);
    isStoreDown = true;
    await simulation.clock.advance(3_000);
    expect(simulation.history).to.have.length(0);
    isStoreDown = false;
    await simulation.clock.advance(1_000);
    expect(simulation.history).to.have.length(1);
  });

  it("deletes the rows of jobs that ended long ago, and no others", async () => {
    const simulation = CellSimulation.create(["a"]);
    const ended = createSpec(JOB);
    const live = createSpec("f0000000000000ff");
    await simulation.submit(ended);
    simulation.startScheduler();
    await simulation.clock.advance(500);
    const [task] = simulation.get("a").running;
    simulation.get("a").end(task!, "done");
    await simulation.submit(live);
    await simulation.clock.advance(60_000);
    expect(simulation.readJob(ended)).to.include({ state: "completed" });
    await simulation.clock.advance(60_000);
    expect(simulation.readJob(ended)).to.equal(undefined);
    expect(simulation.readJob(live)).to.include({ kind: "live" });
  });
});
