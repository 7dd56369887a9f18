import type { TaskName } from "@coltsfootpond/policy";
import type {
  RenewOutcome,
  WorkerPort,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

const JOB = "00000000000000cc";
const TASK = `${JOB}.0.0.0`;
const ERROR = new Error("broken call");

/** How a call of the worker port breaks, besides resolving with an outcome. */
const BREAKS: Readonly<Record<string, () => Promise<never>>> = {
  "throws": () => {
    throw ERROR;
  },
  "rejects": () => Promise.reject(ERROR),
};

function isWorkerA({ worker }: WorkerTarget): boolean {
  return String(worker) === "a";
}

/** A cell whose scheduler's calls to worker `a` can be broken; failures are counted by activity. */
function createCell(workers: readonly string[]) {
  const simulation = CellSimulation.create(workers);
  const state = { isBroken: true, failures: new Map<unknown, number>() };
  const { failures } = state;
  simulation.log = {
    info: () => {},
    warn: (event, fields) => {
      if (event !== "background.failed") return;
      const activity = fields?.activity;
      failures.set(activity, (failures.get(activity) ?? 0) + 1);
    },
  };
  return { simulation, state };
}

describe("a cell with one worker to which calls break", () => {
  for (const [kind, breakCall] of Object.entries(BREAKS)) {
    // Guards against one failing poll that ends the process of the lease holder (incident 0009).
    it(`runs the jobs on the others while its poll ${kind}, and uses it afterwards`, async () => {
      const { simulation, state } = createCell(["a", "b"]);
      simulation.wrapWorkerPort = (port) => ({
        ...port,
        renew: (target, ...call) =>
          state.isBroken && isWorkerA(target)
            ? breakCall()
            : port.renew(target, ...call),
      });
      await simulation.submit(createSpec(JOB));
      simulation.startScheduler();
      await simulation.clock.advance(3_000);
      expect(simulation.get("b").running).to.deep.equal([TASK]);
      state.isBroken = false;
      const onWorkerA = { steps: [createStep({ requiredLabel: "a" })] };
      await simulation.submit(createSpec("00000000000000dd", onWorkerA));
      await simulation.clock.advance(3_000);
      expect(simulation.get("a").running).to.have.length(1);
      expect(simulation.get("b").running).to.deep.equal([TASK]);
      // As of any worker that has not answered yet: after delays that double from 120 ms to 1 s.
      expect(state.failures.get("poll_worker")).to.be.within(5, 7);
    });

    // Guards against a start without outcome, whose unit would keep its capacity for ever.
    it(`starts its task elsewhere when a start ${kind}`, async () => {
      const { simulation, state } = createCell(["a", "b"]);
      simulation.wrapWorkerPort = (port) => ({
        ...port,
        start: (target, ...call) =>
          state.isBroken && isWorkerA(target)
            ? breakCall()
            : port.start(target, ...call),
      });
      const spec = createSpec(JOB, { steps: [createStep({ count: 16 })] });
      await simulation.submit(spec);
      simulation.startScheduler();
      await simulation.clock.advance(5_000);
      expect(simulation.get("b").running).to.have.length(8);
      expect(simulation.get("a").running).to.deep.equal([]);
      state.isBroken = false;
      await simulation.clock.advance(5_000);
      expect(simulation.get("a").running).to.have.length(8);
      expect(simulation.countOverlaps()).to.equal(0);
      expect(state.failures.get("start_task")).to.be.greaterThan(0);
    });

    // Guards against a stop that is not repeated, so that its run never ends.
    it(`repeats a stop that ${kind}`, async () => {
      const { simulation, state } = createCell(["a"]);
      simulation.wrapWorkerPort = (port) => ({
        ...port,
        stop: (...call) => state.isBroken ? breakCall() : port.stop(...call),
      });
      const spec = createSpec(JOB);
      await simulation.submit(spec);
      simulation.startScheduler();
      await simulation.clock.advance(3_000);
      expect(simulation.get("a").running).to.deep.equal([TASK]);
      await simulation.cancel(spec);
      await simulation.clock.advance(1_000);
      state.isBroken = false;
      await simulation.clock.advance(1_000);
      expect(simulation.get("a").running).to.deep.equal([]);
      expect(state.failures.get("stop_task")).to.be.greaterThan(0);
    });
  }

  // Guards against a report that the listener of the session cannot process.
  it("runs the jobs on the others while its reports break their listener", async () => {
    const { simulation, state } = createCell(["a", "b"]);
    let sequence = 0;
    const addBrokenEnd = (outcome: RenewOutcome): RenewOutcome => {
      if (outcome.kind !== "report" || !state.isBroken) return outcome;
      const end = { run: 1, end: "done", checkpoint: "" } as const;
      const task = undefined as unknown as TaskName;
      return { ...outcome, ended: [{ ...end, sequence: ++sequence, task }] };
    };
    const wrapRenew =
      (port: WorkerPort): WorkerPort["renew"] => async (target, ...call) => {
        const outcome = await port.renew(target, ...call);
        return isWorkerA(target) ? addBrokenEnd(outcome) : outcome;
      };
    simulation.wrapWorkerPort = (port) => ({ ...port, renew: wrapRenew(port) });
    await simulation.submit(createSpec(JOB));
    simulation.startScheduler();
    // Includes the lease of a start on the worker before it counts as unreachable.
    await simulation.clock.advance(10_000);
    expect(simulation.get("b").running).to.deep.equal([TASK]);
    expect(state.failures.get("poll_worker")).to.be.greaterThan(0);
  });
});
