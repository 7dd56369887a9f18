/** Promises of the placement engine after any sequence of events. */
import {
  brandId,
  type GuaranteeDeclaration,
  type WorkerName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { createPlacementEngine } from "./engine.ts";
import { EngineInvariantChecker } from "./engine_invariant_checker.ts";
import {
  createGuarantee,
  createJob,
  createOrganisation,
  createShape,
  createWorkers,
} from "./test_fixtures.ts";

const WORKER_NAMES = ["0-0", "0-1", "1-0", "1-1"].map((suffix) =>
  brandId<WorkerName>(`worker-${suffix}`)
);
const ORGANISATIONS = [
  createOrganisation("gas"),
  createOrganisation("bids", {
    quota: {
      milliprocessors: 1e9,
      memoryMib: 1e9,
      accelerators: 20,
    },
  }),
];
const GUARANTEES: readonly GuaranteeDeclaration[] = [
  createGuarantee("desk", "gas", createShape(2, 4, "rack")),
  createGuarantee("layout", "bids", createShape(1, 6, "worker")),
  createGuarantee("press", "bids", createShape(3, 2, "rack")),
];

const shapes = fc.constantFrom(
  createShape(1, 1, "failure_domain"),
  createShape(1, 2, "worker"),
  createShape(2, 4, "rack"),
  createShape(1, 6, "worker"),
  createShape(3, 2, "failure_domain"),
  createShape(2, 8, "rack"),
);

const steps = fc.record({
  pauseMs: fc.constantFrom(1, 500, 3_000, 90_000),
  action: fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant("submit" as const),
        organisation: fc.constantFrom("gas", "bids"),
        shape: shapes,
        priority: fc.constantFrom("normal" as const, "urgent" as const),
        idempotent: fc.boolean(),
        canCheckpoint: fc.boolean(),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant("end" as const),
        choice: fc.nat(20),
        end: fc.constantFrom(
          "finished" as const,
          "failed" as const,
          "refused" as const,
        ),
      }),
    },
    fc.record({ kind: fc.constant("cancel" as const), choice: fc.nat(20) }),
    fc.record({ kind: fc.constant("down" as const), choice: fc.nat(3) }),
    fc.record({ kind: fc.constant("up" as const), choice: fc.nat(3) }),
    fc.record({ kind: fc.constant("out" as const) }),
    fc.record({ kind: fc.constant("in" as const) }),
    fc.record({
      kind: fc.constant("configure" as const),
      kept: fc.subarray([...GUARANTEES]),
    }),
  ),
});
type Step = typeof steps extends fc.Arbitrary<infer Value> ? Value : never;

class Run {
  readonly engine = createPlacementEngine();
  readonly model = EngineInvariantChecker.create(this.engine);
  nowMs = 0;
  #jobs = 0;

  private constructor() {}

  static create(): Run {
    const run = new Run();
    for (const event of createWorkers(2, 2)) run.model.apply(event, 0);
    run.configure([]);
    return run;
  }

  configure(guarantees: readonly GuaranteeDeclaration[]): void {
    const organisations = ORGANISATIONS;
    this.model.apply(
      { kind: "configuration", guarantees, organisations },
      this.nowMs,
    );
  }

  take(step: Step): void {
    this.nowMs += step.pauseMs;
    this.finishLeaving();
    this.act(step.action);
    this.model.decide(this.nowMs);
  }

  /** Ends what was asked to go and has had its time. */
  finishLeaving(): void {
    for (const [jobId, dueMs] of [...this.model.leaving]) {
      const job = this.model.running.get(jobId)?.job;
      if (job === undefined || dueMs > this.nowMs) continue;
      const requeue = job.idempotent || job.canCheckpoint;
      this.model.end(jobId, "stopped", requeue, this.nowMs);
    }
  }

  act(action: Step["action"]): void {
    const { model, nowMs } = this;
    switch (action.kind) {
      case "submit": {
        const job = createJob({ ...action, id: `${this.#jobs++}` });
        return model.apply({ kind: "job_queued", job }, nowMs);
      }
      case "end": {
        const ids = [...model.running.keys()];
        const jobId = ids[action.choice % Math.max(1, ids.length)];
        if (jobId === undefined) return;
        const requeue = action.end !== "finished";
        return model.end(jobId, action.end, requeue, nowMs);
      }
      case "cancel": {
        const ids = [...model.waiting.keys(), ...model.running.keys()];
        const jobId = ids[action.choice % Math.max(1, ids.length)];
        if (jobId === undefined) return;
        model.apply({ kind: "job_withdrawn", jobId }, nowMs);
        if (model.running.has(jobId)) model.leaving.set(jobId, nowMs);
        return;
      }
      case "down":
        return model.loseWorker(WORKER_NAMES[action.choice]!, nowMs);
      case "up":
        return model.apply(createWorkers(2, 2)[action.choice]!, nowMs);
      case "out":
        return model.apply({ kind: "domain_out", drainMs: 2_000 }, nowMs);
      case "in":
        return model.apply({ kind: "domain_in" }, nowMs);
      case "configure":
        return this.configure(action.kept);
    }
  }

  /** Brings everything back and lets all work finish. */
  drain(): void {
    this.model.apply({ kind: "domain_in" }, this.nowMs);
    for (const event of createWorkers(2, 2)) {
      this.model.apply(event, this.nowMs);
    }
    for (let round = 0; round < 200; round++) {
      this.nowMs += 90_000;
      for (const jobId of [...this.model.running.keys()]) {
        this.model.end(jobId, "finished", false, this.nowMs);
      }
      this.model.decide(this.nowMs);
    }
  }
}

describe("PlacementEngine promises", () => {
  it("hold after any sequence of events", () => {
    fc.assert(
      fc.property(fc.array(steps, { minLength: 5, maxLength: 60 }), (list) => {
        const run = Run.create();
        for (const step of list) {
          run.take(step);
          expect(run.model.violations).to.deep.equal([]);
          const broken = run.engine.listUnplacedGuarantees();
          if (broken.length === 0) {
            expect(run.model.areGuaranteesReclaimable()).to.equal(true);
          }
        }
        run.drain();
        expect(run.model.violations).to.deep.equal([]);
        const stuck = [...run.model.waiting.values()].filter((job) =>
          job.idempotent || job.canCheckpoint
        );
        expect(stuck.map(({ jobId }) => run.engine.getWaitReason(jobId))).to
          .deep
          .equal([]);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  it("bound the wait of a large gang under an endless flood of small jobs", () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 4 }), fc.nat(), (size, salt) => {
        const run = Run.create();
        const maximumRunMs = 120_000;
        const gang = createJob({
          id: "gang",
          shape: createShape(2, 8, "rack"),
          organisation: "bids",
        });
        const flood = (id: string) =>
          run.model.apply({
            kind: "job_queued",
            job: createJob({
              id,
              accelerators: size,
              expectedRunMs: 30_000 + (salt % 7) * 10_000,
              maximumRunMs,
            }),
          }, run.nowMs);
        for (let index = 0; index < 40; index++) flood(`before-${index}`);
        run.model.decide(run.nowMs);
        run.model.apply({ kind: "job_queued", job: gang }, run.nowMs);
        const reservationMs = 30_000;
        const boundMs = reservationMs + 2 * maximumRunMs;
        while (!run.model.placedAtMs.has(gang.jobId)) {
          run.nowMs += 5_000;
          expect(run.nowMs).to.be.lessThan(boundMs + 10_000);
          for (const [jobId, { placedAtMs }] of [...run.model.running]) {
            const index = Number(jobId.replace(/\D/g, "")) + salt;
            const ranMs = 20_000 + (index * 7_919) % 100_000;
            if (run.nowMs - placedAtMs < ranMs) continue;
            run.model.end(jobId, "finished", false, run.nowMs);
            flood(`${jobId}-${run.nowMs}`);
          }
          run.model.decide(run.nowMs);
        }
        expect(run.model.violations).to.deep.equal([]);
      }),
      { seed: 5, numRuns: 40 },
    );
  });
});
