/** Tests of one gang attempt against the stand-ins: all-or-nothing start, and each way to end. */
import {
  type AttemptId,
  brandId,
  type EntryName,
  type FailureDomainName,
  type JobId,
  type JobServiceDeclaration,
  ManualClock,
  NULL_EVENT_SINK,
  type OrganisationName,
  type RackName,
  type RequestId,
  SeededRandom,
  type ServiceName,
  type WorkerName,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { PlatformStandIn } from "../../../stand_ins/platform/platform_stand_in.ts";
import { getJobKey, getRequestKey, type JobRow } from "../rows.ts";
import { GangAttempt } from "./gang_attempt.ts";
import type { AttemptResult } from "./attempt_types.ts";
import { createFleetCommander } from "./gang_start.ts";
import { JobRecorder } from "./job_recorder.ts";
import { endJob, insertJob, replaceJob, type StoredJob } from "./job_rows.ts";

const DOMAIN = brandId<FailureDomainName>("landsberg");
const WORKERS = ["w0", "w1"].map((name) => brandId<WorkerName>(name));
const RESOURCES = { milliprocessors: 1_000, memoryMib: 64, accelerators: 8 };
const OWNED_DOMAIN = { failureDomain: DOMAIN, epoch: 3 };

const SERVICE: JobServiceDeclaration = {
  kind: "job",
  name: brandId<ServiceName>("survey"),
  organisations: [],
  idempotent: true,
  maximumBodyBytes: 1_000,
  shape: { tasks: 2, perTask: RESOURCES, adjacency: "rack" },
  priority: "normal",
  expectedRunMs: 1_000,
  maximumRunMs: 60_000,
  canCheckpoint: true,
  checkpointMs: 1_000,
};

const ROW: JobRow = {
  jobId: brandId<JobId>("org/r1"),
  organisation: brandId<OrganisationName>("org"),
  requestId: brandId<RequestId>("r1"),
  service: SERVICE.name,
  bodyDigest: brandId("digest"),
  payload: JSON.stringify({ run_ms: 1_000 }),
  state: "queued",
  attempts: 0,
  failures: 0,
  moves: 0,
  waitedMs: 0,
};

interface FixtureOptions {
  readonly service?: Partial<JobServiceDeclaration>;
  readonly payload?: string;
  /** Runs after all tasks are held and before the placement is recorded. */
  readonly beforeRecord?: (fixture: AttemptFixture) => Promise<void> | void;
}

class AttemptFixture {
  readonly clock = ManualClock.create();
  readonly platform = PlatformStandIn.create({
    clock: this.clock,
    random: SeededRandom.create(1),
  });
  readonly results: AttemptResult[] = [];
  isDomainIn = true;
  stored: StoredJob | undefined;
  attempt: GangAttempt | undefined;
  #revision = 0;

  private constructor() {}

  static async create(options: FixtureOptions = {}): Promise<AttemptFixture> {
    const fixture = new AttemptFixture();
    fixture.platform.fleet.declare({
      failureDomain: DOMAIN,
      workers: WORKERS.map((name) => ({
        name,
        rack: brandId<RackName>("rack"),
        resources: RESOURCES,
      })),
    });
    const row = { ...ROW, payload: options.payload ?? ROW.payload };
    const { ports } = fixture.platform;
    const inserted = await insertJob(ports.table, DOMAIN, row);
    if (inserted.kind !== "inserted") {
      throw new Error("the row of job org/r1 was not inserted");
    }
    fixture.stored = inserted.stored;
    fixture.attempt = fixture.#createAttempt(inserted.stored, options);
    return fixture;
  }

  #createAttempt(stored: StoredJob, options: FixtureOptions): GangAttempt {
    const { clock, platform } = this;
    const { table, objects, fleet } = platform.ports;
    const isOwned = () => true;
    return GangAttempt.create({
      job: {
        stored,
        service: { ...SERVICE, ...options.service },
        waitingSinceMs: 0,
        isMoving: false,
      },
      placement: {
        attemptId: brandId<AttemptId>("a1"),
        assignments: WORKERS.map((worker, index) => ({ index, worker })),
      },
      clock,
      events: NULL_EVENT_SINK,
      subject: {},
      commander: createFleetCommander({
        fleet,
        owned: OWNED_DOMAIN,
        entry: brandId<EntryName>("entry-1"),
        mayAct: isOwned,
      }),
      recorder: JobRecorder.create({
        clock,
        random: SeededRandom.create(2),
        table,
        objects,
        failureDomain: DOMAIN,
        isOwned,
      }),
      recordPlacement: async ({ attemptId, assignments }) => {
        await options.beforeRecord?.(this);
        const next: JobRow = {
          ...stored.row,
          state: "running",
          attemptId,
          assignments,
        };
        return await replaceJob(table, DOMAIN, stored, next);
      },
      mayStart: () => this.isDomainIn,
      isOwned,
      onStarted: () => {},
      onEnded: (result) => this.results.push(result),
    });
  }

  /** Advances the clock, applying the fleet's reports to the attempt every 100 ms. */
  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      await this.clock.advance(100);
      const outcome = await this.platform.ports.fleet.report({
        failureDomain: DOMAIN,
        sinceRevision: this.#revision,
        forget: [],
      }, { timeoutMs: 100 });
      if (outcome.kind !== "report") continue;
      this.#revision = outcome.report.revision;
      for (const task of outcome.report.tasks) this.attempt?.applyReport(task);
    }
    await this.clock.advance(0);
  }

  async describe() {
    const keys = [
      getJobKey(DOMAIN, ROW.jobId),
      getRequestKey(ROW.organisation, ROW.requestId),
    ];
    const outcome = await this.platform.ports.table.read(keys, {
      timeoutMs: 100,
    });
    return {
      results: this.results.map(({ end, workers, next }) => ({
        end,
        workers,
        next: next.kind,
      })),
      rows: outcome.kind === "rows"
        ? outcome.rows.map((row) => row.value)
        : outcome,
      runs: this.platform.readLedger().runs.map((run) =>
        `${run.worker} ${run.state}`
      ),
    };
  }
}

describe("GangAttempt", () => {
  it("answers when every task has finished", async () => {
    const fixture = await AttemptFixture.create();
    void fixture.attempt?.start();
    await fixture.run(2_000);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("runs nothing when one worker refuses its hold", async () => {
    const fixture = await AttemptFixture.create();
    fixture.platform.changeFaults({
      workers: [{ worker: WORKERS[1]!, condition: "down" }],
    });
    void fixture.attempt?.start();
    await fixture.run(500);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("runs nothing when the job is cancelled before its placement is recorded", async () => {
    const fixture = await AttemptFixture.create({
      beforeRecord: async ({ platform, stored }) => {
        const end = {
          state: "cancelled",
          resultName: "JOB_CANCELLED",
        } as const;
        if (stored !== undefined) {
          await endJob(platform.ports.table, DOMAIN, stored, end);
        }
      },
    });
    void fixture.attempt?.start();
    await fixture.run(500);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("runs nothing when the failure domain goes out while the placement is recorded", async () => {
    const fixture = await AttemptFixture.create({
      beforeRecord: (self) => void (self.isDomainIn = false),
    });
    void fixture.attempt?.start();
    await fixture.run(500);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("runs nothing when recording took so long that a hold may expire", async () => {
    const fixture = await AttemptFixture.create({
      beforeRecord: ({ clock }) => clock.sleep(4_000),
    });
    void fixture.attempt?.start();
    await fixture.run(6_000);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("runs an idempotent job again after the answer to its start was lost", async () => {
    const fixture = await AttemptFixture.create({
      beforeRecord: ({ platform }) =>
        platform.changeFaults({ fleet: { loseAnswers: 1 } }),
    });
    void fixture.attempt?.start();
    await fixture.run(500);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("does not run a non-idempotent job again after the answer to its start was lost", async () => {
    const fixture = await AttemptFixture.create({
      service: { idempotent: false, canCheckpoint: false },
      beforeRecord: ({ platform }) =>
        platform.changeFaults({ fleet: { loseAnswers: 1 } }),
    });
    void fixture.attempt?.start();
    await fixture.run(500);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("stops the whole gang when one worker fails", async () => {
    const fixture = await AttemptFixture.create();
    fixture.platform.changeFaults({
      workers: [{ worker: WORKERS[0]!, condition: "bad" }],
    });
    void fixture.attempt?.start();
    await fixture.run(500);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("keeps the whole checkpoint of an evicted gang", async () => {
    const fixture = await AttemptFixture.create({
      payload: JSON.stringify({ run_ms: 30_000, checkpoint_ms: 300 }),
    });
    void fixture.attempt?.start();
    await fixture.run(2_000);
    fixture.attempt?.evict(1_000);
    await fixture.run(1_000);
    expect(await fixture.describe()).toMatchSnapshot();
  });

  it("records its answer after an outage of the table service", async () => {
    const fixture = await AttemptFixture.create();
    void fixture.attempt?.start();
    await fixture.run(500);
    fixture.platform.changeFaults({ table: { down: true } });
    await fixture.run(20_000);
    const during = fixture.results.length;
    fixture.platform.changeFaults({ table: { down: false } });
    await fixture.run(10_000);
    expect({ during, after: await fixture.describe() }).toMatchSnapshot();
  });
});
