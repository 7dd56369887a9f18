/** Tests of the demo's check of promises and of its load plan. */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { brandId, SeededRandom } from "@coltsfootpond/common";
import type { TaskRun } from "@coltsfootpond/stand-ins";
import { expect } from "chai";
import { readExample } from "./example.ts";
import { planLoad } from "./load_plan.ts";
import type { RequestRecord } from "./load_generator.ts";
import { type DemoEvidence, findBrokenPromises } from "./promises.ts";

const { declarations } = readExample("lechfeld");
const BODY = "body";
const ANSWER = Buffer.from(
  `{"sha256":"${createHash("sha256").update(BODY).digest("hex")}"}`,
);

function getService(name: string) {
  const service = declarations.services.find((candidate) =>
    candidate.name === name
  );
  if (service === undefined) {
    throw new Error(`the example declares no service ${name}`);
  }
  return service;
}

function createRecord(
  service: string,
  requestId: string,
  change: Partial<RequestRecord> = {},
): RequestRecord {
  const organisation = declarations.organisations[0];
  if (organisation === undefined) {
    throw new Error("the example declares no organisation");
  }
  return {
    planned: {
      requestId,
      atMs: 0,
      organisation,
      service: getService(service),
      body: BODY,
      cancelAfterMs: undefined,
    },
    sentMs: 0,
    endedMs: 100,
    class: "answered",
    code: 1000,
    answer: ANSWER,
    cancelSent: false,
    resendCount: 0,
    ...change,
  };
}

function createRun(
  requestId: string,
  index: number,
  change: Partial<TaskRun> = {},
  attemptId = "a1",
): TaskRun {
  return {
    task: {
      jobId: brandId(`${declarations.organisations[0]?.name}/${requestId}`),
      attemptId: brandId(attemptId),
      index,
    },
    failureDomain: brandId("landsberg"),
    rack: brandId("landsberg-1"),
    worker: brandId("landsberg-1-1"),
    entry: brandId("entry-1"),
    epoch: 1,
    gangTasks: 2,
    adjacency: "rack",
    resources: { milliprocessors: 0, memoryMib: 0, accelerators: 0 },
    startMs: 1_000,
    endMs: 2_000,
    state: "finished",
    ...change,
  };
}

function createEvidence(
  change: Partial<DemoEvidence> = {},
  runs: readonly TaskRun[] = [],
): DemoEvidence {
  return {
    records: [],
    lost: [],
    executions: [],
    ledger: {
      nowMs: 99_000,
      runs,
      marks: [{ name: "out", atMs: 10_000 }, { name: "in", atMs: 20_000 }],
      capacity: [],
      tableWrites: 0,
      tableReads: 0,
    },
    domainOut: "landsberg",
    kill: { fromMs: 500, toMs: 510 },
    plannedStop: { entry: "entry-3", exitCode: 0 },
    leavingRunner: {
      name: "r1",
      executionsAfterBound: 3,
      executionsAtEnd: 3,
    },
    withoutConfiguration: [],
    open: [],
    ...change,
  };
}

function listFindings(
  change: Partial<DemoEvidence>,
  runs?: readonly TaskRun[],
) {
  return findBrokenPromises(createEvidence(change, runs))
    .map(({ promise, subject, detail }) => `${promise}: ${subject}: ${detail}`);
}

function createExecution(requestId: string, attemptId: string) {
  return { requestId, attemptId, service: "binding-quote" };
}

const GANG = [createRun("j", 0), createRun("j", 1)];

describe("demo", () => {
  it("finds nothing where every promise was kept", () => {
    const records = [
      createRecord("binding-quote", "c"),
      createRecord("route-survey", "j"),
      createRecord("quote-preview", "n", {
        class: "not_run",
        code: 3004,
        answer: undefined,
      }),
    ];
    const lost = [{
      requestId: "c",
      method: "POST",
      sentMs: 400,
      lostMs: 600,
      reason: "reset",
    }];
    const executions = [createExecution("c", "a1")];
    const startBeforeBound = createRun("k", 0, {
      startMs: 12_999,
      gangTasks: 1,
    });
    expect(
      listFindings({ records, lost, executions }, [...GANG, startBeforeBound]),
    )
      .to.deep.equal([]);
  });

  it("finds each kind of broken promise", () => {
    const [first, second] = GANG as [TaskRun, TaskRun];
    const cut = { requestId: "c", method: "POST", reason: "reset" };
    const cases = {
      "crossed answer": listFindings({
        records: [
          createRecord("quote-preview", "c", { answer: Buffer.from("{}") }),
        ],
        executions: [createExecution("c", "a1")],
      }),
      "an answer without a run": listFindings({
        records: [createRecord("quote-preview", "c")],
      }),
      "call said not to have run": listFindings({
        records: [createRecord("quote-preview", "c", {
          class: "not_run",
          answer: undefined,
        })],
        executions: [createExecution("c", "a1")],
      }),
      "job said not to have run": listFindings({
        records: [createRecord("route-survey", "j", {
          class: "not_run",
          answer: undefined,
        })],
      }, GANG),
      "call run twice": listFindings({
        records: [createRecord("binding-quote", "c")],
        executions: [createExecution("c", "a1"), createExecution("c", "a2")],
      }),
      "idempotent call run twice": listFindings({
        records: [createRecord("quote-preview", "c")],
        executions: [createExecution("c", "a1"), createExecution("c", "a2")],
      }),
      "job run twice": listFindings({
        records: [createRecord("price-sheet", "j")],
      }, [
        createRun("j", 0, { gangTasks: 1 }, "a1"),
        createRun("j", 0, { gangTasks: 1 }, "a2"),
      ]),
      "half a gang": listFindings({}, [first]),
      "a task started twice": listFindings({}, [first, second, second]),
      "one task started in place of another": listFindings({}, [first, first]),
      "a gang across racks": listFindings({}, [
        first,
        { ...second, rack: brandId("landsberg-2") },
      ]),
      "a gang started apart": listFindings({}, [first, {
        ...second,
        startMs: 2_001,
      }]),
      "a late start": listFindings({}, [
        createRun("k", 0, { startMs: 13_001, gangTasks: 1 }),
      ]),
      "work for a leaving runner": listFindings({
        leavingRunner: {
          name: "r1",
          executionsAfterBound: 3,
          executionsAtEnd: 4,
        },
      }),
      "a request cut by a planned stop": listFindings({
        lost: [
          { ...cut, sentMs: 511, lostMs: 700 },
          { ...cut, sentMs: 300, lostMs: 499 },
        ],
      }),
      "a planned stop that failed": listFindings({
        plannedStop: { entry: "entry-3", exitCode: null },
      }),
      "an entry without the configuration": listFindings({
        withoutConfiguration: ["entry-2"],
      }),
    };
    expect(cases).toMatchSnapshot();
  });

  it("plans the same load for the same seed, and calls and gangs in it", () => {
    const plan = (seed: number) =>
      planLoad({
        declarations,
        random: SeededRandom.create(seed),
        durationMs: 20_000,
      }).map(({ requestId, atMs, organisation, service, body }) =>
        [requestId, atMs, organisation.name, service.name, body].join(" ")
      );
    expect(plan(3)).to.deep.equal(plan(3));
    expect(plan(3)).to.not.deep.equal(plan(4));
    for (const { name } of declarations.services) {
      expect(plan(3).some((line) => line.includes(` ${name} `)), name)
        .to.equal(true);
    }
  });
});
