import type { TaskName } from "@coltsfootpond/policy";
import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createWorkerPortFake } from "./worker_port_fake.ts";

const TIMEOUT_MS = 500;
const FIRST_START = 1;

function createPort() {
  const simulation = CellSimulation.create(["a"]);
  const { clock, workers } = simulation;
  const worker = simulation.get("a");
  const target = {
    worker: worker.record.worker,
    address: worker.record.address,
  };
  const port = createWorkerPortFake(workers, clock);
  const start = (incarnationStartUnixMs = FIRST_START) =>
    port.start(target, {
      incarnationStartUnixMs,
      maySend: () => true,
      task: "job.0.0.0" as TaskName,
      run: 1,
      payload: "",
      leaseUntilMs: 5_000,
      epoch: 1,
      checkpoint: "",
    }, TIMEOUT_MS);
  const requestReport = () =>
    port.renew(target, {
      incarnationStartUnixMs: undefined,
      maySend: () => true,
      epoch: 1,
      leaseUntilMs: undefined,
      acknowledgedSequence: 0,
      longPollMs: 0,
    }, TIMEOUT_MS);
  /** The kind of the call's outcome after `durationMs`. */
  const settle = async (
    call: Promise<{ readonly kind: string }>,
    durationMs = 2 * TIMEOUT_MS,
  ) => {
    let kind: string | undefined;
    void call.then((outcome) => (kind = outcome.kind));
    await clock.advance(durationMs);
    return kind;
  };
  return { simulation, clock, worker, start, requestReport, settle };
}

describe("a fake connection to a worker", () => {
  it("carries a start to the incarnation that it names", async () => {
    const { worker, start, settle } = createPort();
    expect(await settle(start())).to.equal("started");
    expect(worker.running).to.have.length(1);
  });

  it("carries no start to another incarnation", async () => {
    const { worker, start, requestReport, settle } = createPort();
    await settle(requestReport());
    worker.restart(2);
    expect(await settle(start())).to.equal("restarted");
    expect(worker.running).to.have.length(0);
    expect(await settle(start(2))).to.equal("started");
  });

  it("ends with its process while a start is on its way", async () => {
    const { clock, worker, start, requestReport, settle } = createPort();
    await settle(requestReport());
    worker.drawTravelMs = () => 300;
    const started = start();
    await clock.advance(100);
    worker.restart();
    expect(await settle(started)).to.equal("unavailable");
    expect(worker.running).to.have.length(0);
  });

  it("carries a start on to a process that still runs after the time-out", async () => {
    const { worker, start, requestReport, settle } = createPort();
    await settle(requestReport());
    worker.drawTravelMs = () => 2 * TIMEOUT_MS;
    expect(await settle(start(), TIMEOUT_MS)).to.equal("unavailable");
    expect(worker.running).to.have.length(0);
    expect(await settle(requestReport(), 2 * TIMEOUT_MS)).to.equal(
      "unavailable",
    );
    expect(worker.running).to.have.length(1);
  });

  it("delivers an answer of a process that has ended since", async () => {
    const { clock, worker, start, requestReport, settle } = createPort();
    await settle(requestReport());
    worker.drawAnswerDelayMs = () => 300;
    const started = start();
    await clock.advance(100);
    worker.restart();
    expect(await settle(started)).to.equal("started");
    expect(worker.running).to.have.length(0);
  });

  it("carries late calls to the next process only where they are carried over", async () => {
    for (const carriesCallsOver of [false, true]) {
      const { clock, worker, start, requestReport, settle } = createPort();
      worker.carriesCallsOver = carriesCallsOver;
      await settle(requestReport());
      worker.startDelayMs = 2_000;
      const started = start();
      await clock.advance(100);
      worker.restart();
      expect(await settle(started, 3_000)).to.equal("unavailable");
      expect(worker.running).to.have.length(carriesCallsOver ? 1 : 0);
    }
  });
});
