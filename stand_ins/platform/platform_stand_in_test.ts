/** Tests of the platform stand-in through its ports, in memory and over HTTP. */
import {
  brandId,
  ManualClock,
  SeededRandom,
  SystemClock,
} from "@coltsfootpond/common";
import {
  type CommandBatch,
  createHttpPlatform,
  type PlatformPorts,
  type WorkerCommand,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import { PlatformServer } from "./platform_server.ts";
import { PlatformStandIn } from "./platform_stand_in.ts";

const OPTIONS = { timeoutMs: 1_000 };
const RESOURCES = { milliprocessors: 4_000, memoryMib: 1_024, accelerators: 4 };
const PAYLOAD = JSON.stringify({ run_ms: 1_000, checkpoint_ms: 100 });

function createTask(attempt: string, index = 0) {
  return {
    jobId: brandId<never>("job"),
    attemptId: brandId<never>(attempt),
    index,
  };
}

function createBatch(
  commands: readonly WorkerCommand[],
  epoch = 1,
): CommandBatch {
  return {
    failureDomain: brandId("d1"),
    epoch,
    entry: brandId("entry-1"),
    commands,
  };
}

function hold(attempt: string, worker = "w1"): WorkerCommand {
  return {
    kind: "hold",
    worker: brandId(worker),
    task: createTask(attempt),
    resources: RESOURCES,
    ttlMs: 500,
  };
}

function start(attempt: string, checkpoint?: string): WorkerCommand {
  return {
    kind: "start",
    worker: brandId("w1"),
    task: createTask(attempt),
    leaseMs: 2_000,
    gangTasks: 1,
    adjacency: "worker",
    payload: PAYLOAD,
    checkpoint,
  };
}

function createPlatform() {
  const clock = ManualClock.create();
  const platform = PlatformStandIn.create({
    clock,
    random: SeededRandom.create(1),
  });
  platform.fleet.declare({
    failureDomain: brandId("d1"),
    workers: [{
      name: brandId("w1"),
      rack: brandId("r1"),
      resources: {
        milliprocessors: 8_000,
        memoryMib: 4_096,
        accelerators: 8,
      },
    }],
  });
  return { clock, platform, ports: platform.ports };
}

async function command(
  ports: PlatformPorts,
  commands: readonly WorkerCommand[],
  epoch?: number,
): Promise<readonly string[]> {
  const outcome = await ports.fleet.command(
    createBatch(commands, epoch),
    OPTIONS,
  );
  return outcome.kind === "statuses" ? outcome.statuses : [outcome.reason];
}

async function listStates(
  ports: PlatformPorts,
  sinceRevision = 0,
): Promise<readonly string[]> {
  const outcome = await ports.fleet.report({
    failureDomain: brandId("d1"),
    sinceRevision,
    forget: [],
  }, OPTIONS);
  if (outcome.kind !== "report") return [outcome.reason];
  return outcome.report.tasks.map((task) =>
    `${task.task.attemptId} ${task.state} ${task.runMs}`
  );
}

describe("platform stand-in", () => {
  it("counts holds against capacity until they expire", async () => {
    const { clock, ports } = createPlatform();
    const holds = ["a", "b", "c"].map((attempt) => hold(attempt));
    expect(await command(ports, holds))
      .to.deep.equal(["done", "done", "no_capacity"]);
    await clock.advance(501);
    expect(await command(ports, [start("a"), hold("c")]))
      .to.deep.equal(["no_hold", "done"]);
  });

  it("refuses every command of an earlier epoch", async () => {
    const { ports } = createPlatform();
    expect(await command(ports, [hold("a")], 2)).to.deep.equal(["done"]);
    expect(await command(ports, [start("a"), hold("b")], 1))
      .to.deep.equal(["stale_epoch", "stale_epoch"]);
  });

  it("ends a task with its output, and loses one whose lease expires", async () => {
    const { clock, ports, platform } = createPlatform();
    await command(ports, [hold("a"), start("a")]);
    await clock.advance(1_500);
    expect(await listStates(ports)).to.deep.equal(["a finished 1000"]);
    await command(ports, [hold("b"), {
      ...start("b"),
      leaseMs: 300,
    } as WorkerCommand]);
    await clock.advance(400);
    expect(await listStates(ports, 4)).to.deep.equal(["b lost 300"]);
    expect(platform.readLedger().runs).toMatchSnapshot();
  });

  it("keeps the progress of a checkpoint", async () => {
    const { clock, ports } = createPlatform();
    const worker = brandId<never>("w1");
    const task = createTask("a");
    await command(ports, [hold("a"), start("a")]);
    await clock.advance(600);
    await command(ports, [{ kind: "checkpoint", worker, task }]);
    await clock.advance(200);
    const outcome = await ports.fleet.report({
      failureDomain: brandId("d1"),
      sinceRevision: 0,
      forget: [],
    }, OPTIONS);
    const report = outcome.kind === "report" ? outcome.report.tasks[0] : null;
    expect(report?.state).to.equal("checkpointed");
    await command(ports, [{ kind: "stop", worker, task }]);
    await command(ports, [hold("b"), start("b", report?.checkpoint)]);
    await clock.advance(300);
    expect(await listStates(ports))
      .to.deep.equal(["a stopped 800", "b finished 300"]);
  });

  it("fails the tasks of a bad worker and loses those of a worker that is down", async () => {
    const { clock, ports, platform } = createPlatform();
    const worker = brandId<never>("w1");
    platform.changeFaults({ workers: [{ worker, condition: "bad" }] });
    await command(ports, [hold("a"), start("a")]);
    await clock.advance(100);
    platform.changeFaults({ workers: [{ worker, condition: "healthy" }] });
    await command(ports, [hold("b"), start("b")]);
    platform.changeFaults({ workers: [{ worker, condition: "down" }] });
    expect(await listStates(ports))
      .to.deep.equal(["a failed 50", "b lost 0"]);
    expect(await command(ports, [hold("c")]))
      .to.deep.equal(["worker_down"]);
  });

  it("shows a change of the VM list only after the lag", async () => {
    const { clock, ports, platform } = createPlatform();
    const record = {
      name: "r1",
      role: "runner",
      state: "live",
      host: "127.0.0.1",
      port: 1,
    } as const;
    platform.vms.register(record);
    platform.changeFaults({ vmListLagMs: 400 });
    platform.vms.leave("r1");
    expect(await ports.vms.list(OPTIONS))
      .to.deep.equal({ kind: "list", vms: [record] });
    await clock.advance(401);
    expect(await ports.vms.list(OPTIONS)).to.deep.equal({
      kind: "list",
      vms: [{ ...record, state: "leaving" }],
    });
  });

  it("answers an unchanged VM list without the list", async () => {
    const { ports, platform } = createPlatform();
    const record = {
      name: "r1",
      role: "runner",
      state: "live",
      host: "127.0.0.1",
      port: 1,
    } as const;
    const listSince = (knownRevision: string) =>
      ports.vms.list({ ...OPTIONS, knownRevision });
    platform.vms.register(record);
    expect(await listSince(""))
      .to.deep.equal({ kind: "list", vms: [record], revision: "1" });
    expect(await listSince("1")).to.deep.equal({ kind: "unchanged" });
    platform.vms.leave("r1");
    expect(await listSince("1")).to.deep.equal({
      kind: "list",
      vms: [{ ...record, state: "leaving" }],
      revision: "2",
    });
  });

  it("serves the platform's HTTP protocol, failures included", async () => {
    const platform = PlatformStandIn.create({
      clock: SystemClock.create(),
      random: SeededRandom.create(1),
    });
    const server = PlatformServer.create(platform);
    const port = await server.listen("127.0.0.1", 0);
    const ports = createHttpPlatform({ host: "127.0.0.1", port });
    const transact = () =>
      ports.table.transact({
        writeId: brandId("write"),
        conditions: [],
        writes: [{ kind: "put", key: "k", value: 1 }],
      }, OPTIONS);
    const outcomes: unknown[] = [await transact()];
    platform.changeFaults({ table: { loseAnswers: 1 } });
    outcomes.push((await transact() as { effect?: string }).effect);
    outcomes.push(await ports.table.read(["k"], OPTIONS));
    platform.changeFaults({ table: { down: true } });
    outcomes.push((await transact() as { effect?: string }).effect);
    outcomes.push(await ports.objects.get("a/b", OPTIONS));
    outcomes.push(await ports.objects.put("a/b", new Uint8Array([7]), OPTIONS));
    const found = await ports.objects.get("a/b", OPTIONS);
    outcomes.push(found.kind === "found" ? [...found.content] : found);
    outcomes.push(await ports.fleet.command(createBatch([]), OPTIONS));
    await server.close();
    expect(outcomes).toMatchSnapshot();
  });
});
