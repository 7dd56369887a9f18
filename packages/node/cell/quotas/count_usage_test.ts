/** Tests of what counts as running for an organisation. */
import {
  ManualClock,
  type OrganisationName,
  type WorkerName,
} from "@coltsfootpond/common";
import {
  type CellJobId,
  JobProgress,
  type TaskName,
} from "@coltsfootpond/policy";
import { expect } from "chai";
import { LiveJob } from "../live_job.ts";
import { encodeRow, jobKey, type JobRow } from "../rows.ts";
import {
  createFollower,
  createSpec,
  createStep,
  createStoreFake,
} from "../test_fixtures.ts";
import { countUsage } from "./count_usage.ts";
import { EarlierPlacements } from "./earlier_placements.ts";
import { findAccountOfEnded, type RunAccount } from "./run_account.ts";

const A = "a" as OrganisationName;
const B = "b" as OrganisationName;
const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0` as TaskName;
const NEED = { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 1 };
const CAPACITY = { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 };
const KNOWN: RunAccount = {
  kind: "known",
  organisation: A,
  requirement: NEED,
};

/** Accelerators of organisations a and b. */
function count(
  accounts: readonly RunAccount[],
  unreported: ReturnType<EarlierPlacements["list"]> = [],
  capacity: typeof CAPACITY | undefined = CAPACITY,
): readonly (number | undefined)[] {
  const usage = countUsage({
    workers: [{ capacity, taskRuns: accounts.map((account) => ({ account })) }],
    unreported,
    organisations: [A, B],
    largestCapacity: CAPACITY,
  });
  return [A, B].map((organisation) => usage.get(organisation)?.accelerators);
}

/** Placements of a job with a single task and a gang of four, by an earlier holder. */
function recordPlacements(): EarlierPlacements {
  const spec = createSpec(JOB, {
    organisation: A,
    steps: [
      createStep(),
      createStep({ count: 4, isGang: true }),
    ],
  });
  const placements = EarlierPlacements.create();
  placements.record([LiveJob.create({
    spec,
    progress: JobProgress.create(spec),
    rowVersion: 1,
    progressVersion: 1,
    placements: [
      ["0.0.0", 1, ["v" as WorkerName]],
      ["0.1.0", 1, ["v", "w"] as WorkerName[]],
    ],
  })]);
  return placements;
}

describe("the usage of an organisation", () => {
  // Guards against an undercount by a stray run of a job that has ended.
  it("includes what the known runs leave of a worker with a stray run of unknown need", () => {
    const unsized: RunAccount = { kind: "unsized", organisation: B };
    expect(count([KNOWN, KNOWN, unsized, unsized])).to.deep.equal([2, 6]);
    expect(count([KNOWN, unsized], [], undefined)).to.deep.equal([1, 7]);
    expect(count([KNOWN, { kind: "unsized", organisation: undefined }])).to.deep
      .equal([1, undefined]);
  });

  // Guards against an undercount by a stray run whose organisation is not known either.
  it("includes a stray run of an unknown job for every organisation", () => {
    expect(count([KNOWN, { kind: "unknown" }])).to.deep.equal([8, 7]);
  });

  // Guards against a new holder that starts tasks beside those that no report has named yet.
  it("includes earlier placements on unreported workers", () => {
    const placements = recordPlacements();
    expect(count([], placements.list(() => true))).to.deep.equal([
      5,
      undefined,
    ]);
    expect(count([], placements.list((worker) => worker === "w"))).to.deep
      .equal([3, undefined]);
    expect(placements.list(() => false)).to.deep.equal([]);
  });

  // Guards against a stray run that counts for the wrong organisation, or for none.
  it("takes the organisation of an ended job from its row", () => {
    const find = (row: JobRow | undefined) => {
      const follower = createFollower(createStoreFake(), ManualClock.create());
      const key = jobKey(JOB as CellJobId);
      const value = row && encodeRow(row);
      follower.apply([{ key, version: 1, value }]);
      return findAccountOfEnded(TASK, follower);
    };
    const ended = {
      kind: "ended",
      state: "cancelled",
      queue: createSpec(JOB as CellJobId).queue,
      organisation: B,
      endedUnixMs: 0,
    } as const;
    expect(find(ended)).to.deep.equal({ kind: "unsized", organisation: B });
    expect(find(undefined)).to.deep.equal({ kind: "unknown" });
    const spec = createSpec(JOB, { organisation: A });
    expect(find({ kind: "live", spec })).to.deep.equal(KNOWN);
  });
});
