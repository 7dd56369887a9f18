/** Tests of pinned jobs, which can neither checkpoint nor run again, beside guarantees. */
import { brandId, MS_PER_MINUTE } from "@coltsfootpond/common";
import { expect } from "chai";
import type { DomainSummary, EngineEvent } from "../types.ts";
import {
  chooseFailureDomain,
  chooseNewFailureDomain,
} from "./domain_choice.ts";
import { createPlacementEngine } from "./engine.ts";
import {
  createGuarantee,
  createJob,
  createOrganisation,
  createShape,
  createWorkers,
} from "./test_fixtures.ts";

const PINNED = { idempotent: false, canCheckpoint: false } as const;
const RESERVED_DOMAIN = brandId<never>("diessen");
const OPEN_DOMAIN = brandId<never>("landsberg");
const ORGANISATIONS = [createOrganisation("gas"), createOrganisation("bids")];

function configure(gangTasks: number): EngineEvent {
  const shape = createShape(gangTasks, 8, "rack");
  return {
    kind: "configuration",
    guarantees: [createGuarantee("desk", "gas", shape)],
    organisations: ORGANISATIONS,
  };
}

function queue(id: string): EngineEvent {
  const job = createJob({ id, organisation: "bids", ...PINNED });
  return { kind: "job_queued", job };
}

function createSummary(
  freeAccelerators: number,
  largestRackUnreservedAccelerators: number,
): DomainSummary {
  return {
    freeAccelerators,
    totalAccelerators: 128,
    largestRackFreeAccelerators: 64,
    largestRackUnreservedAccelerators,
    largestPartlyFreeAccelerators: 0,
    openingLoss: 0,
    freeMilliprocessors: 1_000_000,
    queuedJobs: 0,
    queuedAccelerators: 0,
    runningTasks: 0,
  };
}

describe("pinned jobs", () => {
  it("let a guarantee that they displaced have its place again once they have ended", () => {
    const engine = createPlacementEngine();
    const apply = (...events: readonly EngineEvent[]) =>
      events.forEach((event) => engine.apply(event, 0));
    apply(...createWorkers(1, 4), configure(3), queue("a"));
    const decided = [engine.decide(0)];
    const jobId = brandId<never>("job/a");
    apply({ kind: "job_started", jobId }, configure(4));
    decided.push(engine.decide(10));
    const broken = [engine.listUnplacedGuarantees().length];
    apply({
      kind: "attempt_ended",
      jobId,
      end: "finished",
      requeue: false,
      ranMs: 10,
      workers: [],
    });
    decided.push(engine.decide(20));
    broken.push(engine.listUnplacedGuarantees().length);
    expect(broken).to.deep.equal([1, 0]);
    apply(configure(3), queue("b"));
    decided.push(engine.decide(30));
    expect(decided.map((decisions) => decisions.map(({ kind }) => kind)))
      .to.deep.equal([["place"], [], [], ["place"]]);
  });

  it("move from a failure domain where guarantees reserve every accelerator", () => {
    const summaries = new Map([
      [RESERVED_DOMAIN, createSummary(64, 0)],
      [OPEN_DOMAIN, createSummary(60, 60)],
    ]);
    const move = (options: Parameters<typeof createJob>[0], waitedMs: number) =>
      chooseNewFailureDomain({
        job: createJob(options),
        current: RESERVED_DOMAIN,
        waitedMs,
        moves: 0,
        summaries,
        domainsInService: [RESERVED_DOMAIN, OPEN_DOMAIN],
      });
    expect(move({ id: "a", ...PINNED }, 0)).to.equal(undefined);
    expect(move({ id: "a", ...PINNED }, 3_000)).to.equal(OPEN_DOMAIN);
    expect(move({ id: "a" }, MS_PER_MINUTE)).to.equal(undefined);
  });

  it("are not sent to a failure domain where guarantees reserve every accelerator", () => {
    const summaries = new Map([
      [RESERVED_DOMAIN, createSummary(64, 0)],
      [OPEN_DOMAIN, createSummary(128, 64)],
    ]);
    const choose = (options: Parameters<typeof createJob>[0]) =>
      chooseFailureDomain(createJob(options), summaries, [
        RESERVED_DOMAIN,
        OPEN_DOMAIN,
      ]);
    expect(choose({ id: "a", ...PINNED })).to.equal(OPEN_DOMAIN);
    expect(choose({ id: "a", idempotent: true })).to.equal(RESERVED_DOMAIN);
    summaries.set(OPEN_DOMAIN, createSummary(128, 0));
    expect(choose({ id: "a", ...PINNED })).to.equal(RESERVED_DOMAIN);
  });
});
