/** Property tests: invariants of the placement engine after any sequence of events. */
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

/** One engine with its invariant checker and a clock. */
class EngineRun {
  readonly engine = createPlacementEngine();
  readonly checker = EngineInvariantChecker.create(this.engine);
  nowMs = 0;
  #jobs = 0;

  private constructor() {}

  static create(): EngineRun {
    const run = new EngineRun();
    for (const event of createWorkers(2, 2)) run.checker.apply(event, 0);
    run.configure([]);
    return run;
  }

  configure(guarantees: readonly GuaranteeDeclaration[]): void {
    const organisations = ORGANISATIONS;
    this.checker.apply(
      { kind: "configuration", guarantees, organisations },
      this.nowMs,
    );
  }

  applyStep(step: Step): void {
    this.nowMs += step.pauseMs;
    this.finishEvicted();
    this.applyAction(step.action);
    this.checker.decide(this.nowMs);
  }

  /** Ends the evicted jobs whose time to leave has passed. */
  finishEvicted(): void {
    for (const [jobId, dueMs] of [...this.checker.leaving]) {
      const job = this.checker.running.get(jobId)?.job;
      if (job === undefined || dueMs > this.nowMs) continue;
      const requeue = job.idempotent || job.canCheckpoint;
      this.checker.end(jobId, "stopped", requeue, this.nowMs);
    }
  }

  applyAction(action: Step["action"]): void {
    const { checker, nowMs } = this;
    switch (action.kind) {
      case "submit": {
        const job = createJob({ ...action, id: `${this.#jobs++}` });
        return checker.apply({ kind: "job_queued", job }, nowMs);
      }
      case "end": {
        const ids = [...checker.running.keys()];
        const jobId = ids[action.choice % Math.max(1, ids.length)];
        if (jobId === undefined) return;
        const requeue = action.end !== "finished";
        return checker.end(jobId, action.end, requeue, nowMs);
      }
      case "cancel": {
        const ids = [...checker.waiting.keys(), ...checker.running.keys()];
        const jobId = ids[action.choice % Math.max(1, ids.length)];
        if (jobId === undefined) return;
        checker.apply({ kind: "job_withdrawn", jobId }, nowMs);
        if (checker.running.has(jobId)) checker.leaving.set(jobId, nowMs);
        return;
      }
      case "down":
        return checker.loseWorker(WORKER_NAMES[action.choice]!, nowMs);
      case "up":
        return checker.apply(createWorkers(2, 2)[action.choice]!, nowMs);
      case "out":
        return checker.apply({ kind: "domain_out", drainMs: 2_000 }, nowMs);
      case "in":
        return checker.apply({ kind: "domain_in" }, nowMs);
      case "configure":
        return this.configure(action.kept);
    }
  }

  /** Brings all workers and the failure domain into service and lets all jobs finish. */
  finishAll(): void {
    this.checker.apply({ kind: "domain_in" }, this.nowMs);
    for (const event of createWorkers(2, 2)) {
      this.checker.apply(event, this.nowMs);
    }
    for (let round = 0; round < 200; round++) {
      this.nowMs += 90_000;
      for (const jobId of [...this.checker.running.keys()]) {
        this.checker.end(jobId, "finished", false, this.nowMs);
      }
      this.checker.decide(this.nowMs);
    }
  }
}

describe("PlacementEngine invariants", () => {
  it("hold after any sequence of events", () => {
    fc.assert(
      fc.property(fc.array(steps, { minLength: 5, maxLength: 60 }), (list) => {
        const run = EngineRun.create();
        for (const step of list) {
          run.applyStep(step);
          expect(run.checker.violations).to.deep.equal([]);
          const broken = run.engine.listUnplacedGuarantees();
          if (broken.length === 0) {
            expect(run.checker.areGuaranteesReclaimable()).to.equal(true);
          }
        }
        run.finishAll();
        expect(run.checker.violations).to.deep.equal([]);
        const neverPlaced = [...run.checker.waiting.values()].filter((job) =>
          job.idempotent || job.canCheckpoint
        );
        expect(neverPlaced.map(({ jobId }) => run.engine.getWaitReason(jobId)))
          .to
          .deep
          .equal([]);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  it("bound the waiting time of a large gang under a continuous load of small jobs", () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 4 }), fc.nat(), (size, salt) => {
        const run = EngineRun.create();
        const maximumRunMs = 120_000;
        const gang = createJob({
          id: "gang",
          shape: createShape(2, 8, "rack"),
          organisation: "bids",
        });
        const submitSmallJob = (id: string) =>
          run.checker.apply({
            kind: "job_queued",
            job: createJob({
              id,
              accelerators: size,
              expectedRunMs: 30_000 + (salt % 7) * 10_000,
              maximumRunMs,
            }),
          }, run.nowMs);
        for (let index = 0; index < 40; index++) {
          submitSmallJob(`before-${index}`);
        }
        run.checker.decide(run.nowMs);
        run.checker.apply({ kind: "job_queued", job: gang }, run.nowMs);
        const reservationMs = 30_000;
        const boundMs = reservationMs + 2 * maximumRunMs;
        while (!run.checker.placedAtMs.has(gang.jobId)) {
          run.nowMs += 5_000;
          expect(run.nowMs).to.be.lessThan(boundMs + 10_000);
          for (const [jobId, { placedAtMs }] of [...run.checker.running]) {
            const index = Number(jobId.replace(/\D/g, "")) + salt;
            const ranMs = 20_000 + (index * 7_919) % 100_000;
            if (run.nowMs - placedAtMs < ranMs) continue;
            run.checker.end(jobId, "finished", false, run.nowMs);
            submitSmallJob(`${jobId}-${run.nowMs}`);
          }
          run.checker.decide(run.nowMs);
        }
        expect(run.checker.violations).to.deep.equal([]);
      }),
      { seed: 5, numRuns: 40 },
    );
  });
});
