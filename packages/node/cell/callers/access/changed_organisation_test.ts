/** Tests of calls for jobs whose organisation is declared otherwise than when they were accepted. */
import { createCallerCodec } from "@coltsfootpond/platform";
import type { OrganisationName } from "@coltsfootpond/common";
import type { DeclaredState } from "@coltsfootpond/ports";
import { expect } from "chai";
import { CellSimulation } from "../../cell_simulation.ts";
import { computeKeyTag } from "../../job_origins/origin_tags.ts";
import {
  createDeclaredState,
  createSpec,
  createStep,
} from "../../test_fixtures.ts";
import { declare, EntryFake } from "./caller_access_fixtures.ts";

const JOB = "00000000000000aa";
const PATH = `/queue/${JOB}`;
const QUEUES = [{ name: "queue" }];
const OTHER = { other: ["other-key"] };

const createEntry = (state: DeclaredState) =>
  EntryFake.create(createCallerCodec(), state);

/** An entry that has accepted the job with `key-1` of the organisation `before`. */
async function createWithJob(): Promise<EntryFake> {
  const keys = { before: ["key-1"], ...OTHER };
  const entry = createEntry(declare(QUEUES, keys));
  expect((await entry.call("POST", PATH, "key-1")).status).to.equal(200);
  return entry;
}

/** The organisation has eight guaranteed accelerators. */
function guarantee(name: string) {
  const { organisationByApiKey, shares } = createDeclaredState(
    [],
    { [name]: ["key-1"] },
  );
  const organisation = name as OrganisationName;
  const guarantees = [{ organisation, accelerators: 8 }];
  return { organisationByApiKey, shares, guarantees };
}

describe("a job whose organisation is declared otherwise", () => {
  // Guards against an accepted job that is answered 410, and whose tasks run on after a DELETE that
  // was acknowledged, as its organisation has another name.
  it("is shown and cancelled with the keys of its organisation under another name", async () => {
    for (const key of ["key-1", "key-2"]) {
      const entry = await createWithJob();
      const keys = { after: ["key-2", "key-1"], ...OTHER };
      entry.state = declare(QUEUES, keys, 2);
      expect(await entry.readAndCancel(PATH, "other-key")).to.deep.equal(
        [410, 410],
      );
      expect(await entry.readAndCancel(PATH, key)).to.deep.equal([200, 200]);
      expect(entry.readRow(JOB)).to.include({ state: "cancelled" });
      expect((await entry.call("GET", PATH, key)).status).to.equal(200);
      expect((await entry.call("GET", PATH, "other-key")).status).to.equal(410);
    }
  });

  // Guards against a caller that loses its jobs as its key has moved, and against an organisation
  // that gains the jobs of the one from which it got the key.
  it("is shown with its key that has moved, and with the new keys of its organisation", async () => {
    const keys = { before: ["key-2"], other: ["other-key", "key-1"] };
    for (const key of ["key-1", "key-2"]) {
      const entry = await createWithJob();
      entry.state = declare(QUEUES, keys, 2);
      expect(await entry.readAndCancel(PATH, "other-key")).to.deep.equal(
        [410, 410],
      );
      expect(entry.readRow(JOB)).to.include({ kind: "live" });
      expect(await entry.readAndCancel(PATH, key)).to.deep.equal([200, 200]);
    }
  });

  it("is shown with a new key of its organisation, and not with the one taken away", async () => {
    const entry = await createWithJob();
    entry.state = declare(QUEUES, { before: ["key-2"], ...OTHER }, 2);
    expect((await entry.call("GET", PATH, "key-1")).status).to.equal(401);
    expect((await entry.call("GET", PATH, "key-2")).status).to.equal(200);
    // All keys are taken away for a while.
    entry.state = declare(QUEUES, { before: [], ...OTHER }, 3);
    expect((await entry.call("GET", PATH, "other-key")).status).to.equal(410);
    entry.state = declare(QUEUES, { before: ["key-3"], ...OTHER }, 4);
    expect(await entry.readAndCancel(PATH, "key-3")).to.deep.equal([200, 200]);
  });

  // Guards against a final answer for a job that is there, and against one organisation that reads
  // or cancels the jobs of another that was removed.
  it("is neither shown nor denied while it can't be told who owns it", async () => {
    const entry = await createWithJob();
    entry.state = declare(QUEUES, { after: ["key-2"], ...OTHER }, 2);
    for (const key of ["key-2", "other-key"]) {
      expect(await entry.call("GET", PATH, key)).to.include({
        status: 503,
        retryAfterS: 1,
      });
      expect((await entry.call("DELETE", PATH, key)).status).to.equal(503);
    }
    expect(entry.readRow(JOB)).to.include({ kind: "live" });
    entry.state = declare(QUEUES, { after: ["key-2", "key-1"], ...OTHER }, 3);
    expect(await entry.readAndCancel(PATH, "key-2")).to.deep.equal([200, 200]);
  });

  // Guards against rows of earlier versions, which don't say by which key the job was submitted.
  it("is shown by its name where its row doesn't say its key", async () => {
    const entry = await createWithJob();
    const row = entry.readRow(JOB);
    if (row?.kind !== "live") throw new Error("not accepted");
    const { keyTag, ...spec } = row.spec;
    expect(keyTag).to.be.a("string");
    await entry.putRow(JOB, { kind: "live", spec });
    expect((await entry.call("GET", PATH, "other-key")).status).to.equal(410);
    expect((await entry.call("GET", PATH, "key-1")).status).to.equal(200);
    entry.state = declare(QUEUES, { after: ["key-1"], ...OTHER }, 2);
    expect((await entry.call("GET", PATH, "key-1")).status).to.equal(503);
    entry.state = declare(QUEUES, { before: ["key-9"], ...OTHER }, 3);
    expect(await entry.readAndCancel(PATH, "key-9")).to.deep.equal([200, 200]);
  });

  // Guards against an end whose row no longer says by which key the job was submitted.
  it("keeps its key when it ends", async () => {
    const simulation = CellSimulation.create(["worker"]);
    const spec = createSpec(JOB, { keyTag: "tag" });
    await simulation.submit(spec);
    simulation.workers.forEach((worker) => (worker.taskDurationMs = 200));
    simulation.startScheduler();
    await simulation.clock.advance(10_000);
    expect(simulation.readJob(spec)).to.include({
      state: "completed",
      keyTag: "tag",
    });
  });

  // Guards against urgent jobs that lose their guarantee as their organisation has another name.
  it("keeps the guarantee of its organisation under another name", async () => {
    for (const name of ["before", "after"]) {
      const simulation = CellSimulation.create(["worker"]);
      simulation.declareOrganisations(guarantee(name));
      const urgent = { priority: 0 };
      const wholeWorker = {
        need: { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 },
      };
      const ordinary = createSpec("00000000000000bb", {
        ...urgent,
        steps: [createStep({ ...wholeWorker, estimateMs: 500 })],
      });
      const guaranteed = createSpec(JOB, {
        ...urgent,
        organisation: "before" as OrganisationName,
        keyTag: computeKeyTag("key-1"),
        steps: [createStep({ ...wholeWorker, estimateMs: 2_000 })],
      });
      await simulation.submit(ordinary);
      await simulation.submit(guaranteed);
      simulation.startScheduler();
      await simulation.clock.advance(3_000);
      expect(simulation.history[0]?.task.startsWith(JOB), name).to.equal(true);
    }
  });
});
