/**
 * Random rows in the state table, beside good ones: the readers of one entry's copy, and a lease
 * holder in the simulated cell.
 */
import { ManualClock, type OrganisationName } from "@coltsfootpond/common";
import { type CellJobId, UrgentDemand } from "@coltsfootpond/policy";
import type { CellSettings } from "@coltsfootpond/ports";
import { expect } from "chai";
import fc from "fast-check";
import { pack } from "msgpackr";
import { PublishedLoad } from "../admission/published_load.ts";
import { JobRepository } from "../callers/job_repository.ts";
import { CellSimulation } from "../cell_simulation.ts";
import { EndedJobCollector } from "../ended_job_collector.ts";
import { collectUnhandledErrors } from "../fakes/unhandled_errors.ts";
import { JobRegistry } from "../job_registry.ts";
import { SCHEDULER_LEASE_MS } from "../lease/lease_times.ts";
import { SchedulerLease } from "../lease/scheduler_lease.ts";
import { FAILURE_EVENT } from "../background/report_failure.ts";
import { type CellLog, SILENT_LOG } from "../log.ts";
import { PeerRegistry } from "../peer_registry.ts";
import { findAccountOfEnded } from "../quotas/run_account.ts";
import {
  BEGUN_KEY,
  encodeRow,
  jobKey,
  LEASE_KEY,
  LOAD_KEY,
  peerKey,
  progressKey,
  refusalKey,
  ROSTER_KEY,
  SPEEDS_KEY,
} from "../rows.ts";
import {
  createFollower,
  createQueue,
  createQueueCall,
  createSpec,
  createStep,
  createStoreFake,
  type StoreFake,
} from "../test_fixtures.ts";

const SEED = 20261205;
const ENTRY_RUNS = 150;
const CELL_RUNS = 30;

const GOOD = "a0000000000000cc" as CellJobId;
const ODD_JOBS = ["a0000000000000bb", "b0000000000000bb"] as CellJobId[];
const OWNER = { organisation: "owner" as OrganisationName };
const REQUESTER = createQueueCall("owner");
const OTHER_REQUESTER = createQueueCall("other");
const GOOD_SPEC = createSpec(GOOD, {
  ...OWNER,
  queue: "good" as ReturnType<typeof createSpec>["queue"],
  steps: [createStep({ count: 2 })],
});
const GOOD_PEER = { host: "good", port: 4_711, processorShare: 1 };

/** The epoch that an earlier process has reached. */
const EARLIER_EPOCH = 5;
const LEASE = {
  holder: "odd",
  incarnation: "odd-1",
  epoch: 50,
  beat: 4,
  isReleased: false,
  handedOverUnixMs: 0,
};

/** Keys of each kind of row, and rows that an odd one may resemble. */
const KINDS: readonly {
  readonly keys: readonly string[];
  readonly samples: readonly unknown[];
}[] = [
  ...ODD_JOBS.flatMap((jobId) => [
    {
      keys: [jobKey(jobId)],
      samples: [
        {
          kind: "live",
          spec: createSpec(jobId, {
            steps: [createStep({ count: 2 }), createStep({ after: [0] })],
            recurrence: { times: 2, firstRunUnixMs: 0, intervalMs: 100 },
          }),
        },
        {
          kind: "ended",
          state: "failed",
          reason: "attempts",
          queue: "queue",
          organisation: "other",
          endedUnixMs: 0,
        },
        { kind: "barred", endedUnixMs: 0 },
      ],
    },
    {
      keys: [progressKey(jobId)],
      samples: [{
        writeId: "w",
        record: {
          "0.0": { done: [0], failures: [[1, 7]], checkpoints: [[1, "c"]] },
          "1.1": {
            done: [],
            failures: [],
            checkpoints: [],
            crashes: [[0, 1, "uncertain", "m"]],
          },
          "0.2": { done: [], failures: [], checkpoints: [] },
        },
        placements: [["0.0.1", 7, ["w"], [1]]],
      }, {
        writeId: "w",
        record: {},
        placements: [["0.0.1", 7, ["w"], [1]]],
      }],
    },
    {
      keys: [refusalKey(jobId)],
      samples: [{ kind: "refused", endedUnixMs: 0 }],
    },
  ]),
  {
    keys: [LEASE_KEY],
    samples: [
      LEASE,
      {
        ...LEASE,
        holder: "own",
        acquiredBeat: 2,
        shortTenures: 1,
        failures: 1,
      },
    ],
  },
  {
    keys: [peerKey("odd"), peerKey("")],
    samples: [{ host: "odd", port: 1, processorShare: 0.5 }],
  },
  { keys: [BEGUN_KEY], samples: [{ jobIds: ODD_JOBS }] },
  {
    keys: [ROSTER_KEY, `${ROSTER_KEY}-1`],
    samples: [{ workers: [["a", "a:1"], ["odd", "odd:1"]] }],
  },
  { keys: [SPEEDS_KEY], samples: [{ unixMs: 0, workers: [["a", 1, 1]] }] },
  {
    keys: [LOAD_KEY],
    samples: [{ services: [], queues: [], epoch: 3, beat: 4 }],
  },
];

const oddValue = fc.constantFrom<unknown>(
  undefined,
  null,
  "",
  "odd\r\n",
  "x".repeat(300),
  [],
  {},
  [[]],
  true,
  -1,
  0,
  0.5,
  1e9,
  1e20,
  1e308,
  2 ** 53,
  Number.NaN,
  Infinity,
  2n ** 63n,
  new Date(0),
  new Uint8Array(3),
);

/** Paths of all values within a value. */
function listPaths(value: unknown): readonly (readonly string[])[] {
  if (typeof value !== "object" || value === null) return [];
  return Object.entries(value).flatMap(([key, item]) => [
    [key],
    ...listPaths(item).map((path) => [key, ...path]),
  ]);
}

/** A copy with another value at the path. */
function replaceAt(
  value: unknown,
  [key, ...rest]: readonly string[],
  replacement: unknown,
): unknown {
  if (key === undefined) return replacement;
  const copy = Array.isArray(value) ? [...value] : { ...value as object };
  const fields = copy as Record<string, unknown>;
  fields[key] = replaceAt(fields[key], rest, replacement);
  return copy;
}

/** A row that resembles one of these in all but one field, or that is cut short. */
function oddBytesLike(samples: readonly unknown[]): fc.Arbitrary<Uint8Array> {
  const sample = fc.constantFrom(...samples);
  return fc.oneof(
    {
      weight: 6,
      arbitrary: fc.tuple(sample, fc.nat(), oddValue).map((
        [value, number, replacement],
      ) => {
        const paths = listPaths(value);
        const path = paths[number % paths.length] ?? [];
        return pack(replaceAt(value, path, replacement));
      }),
    },
    {
      weight: 1,
      arbitrary: fc.tuple(sample, fc.double({ min: 0, max: 1, noNaN: true }))
        .map(([value, share]) => {
          const bytes = pack(value);
          return bytes.subarray(0, Math.floor(share * bytes.length));
        }),
    },
    { weight: 2, arbitrary: sample.map((value) => pack(value)) },
  );
}

const anyBytes = fc.oneof(
  fc.uint8Array({ maxLength: 40 }),
  fc.oneof(oddValue, fc.jsonValue()).map((value) => pack(value)),
  oddBytesLike(KINDS.flatMap(({ samples }) => samples)),
);
const anyKey = fc.oneof(
  fc.constantFrom(...KINDS.flatMap(({ keys }) => keys)),
  fc.constantFrom("jobs-a/", "jobs-b/a0000000000000bb", "progress/"),
  fc.tuple(
    fc.constantFrom("jobs-a/", "jobs-z/", "peers/", "progress/", "other/"),
    fc.string({ maxLength: 20 }),
  ).map(([prefix, text]) => `${prefix}${text}`),
);

interface Change {
  readonly key: string;
  /** Undefined deletes the row. */
  readonly value: Uint8Array | undefined;
}

function changeOf(
  key: fc.Arbitrary<string>,
  value: fc.Arbitrary<Uint8Array>,
): fc.Arbitrary<Change> {
  return fc.record({
    key,
    value: fc.option(value, { nil: undefined, freq: 10 }),
  });
}

const oddChange = fc.oneof(
  ...KINDS.map(({ keys, samples }) =>
    changeOf(fc.constantFrom(...keys), oddBytesLike(samples))
  ),
  changeOf(anyKey, anyBytes),
  changeOf(anyKey, anyBytes),
);

/** Each list is one transaction. */
const oddChanges = fc.array(
  fc.array(oddChange, { minLength: 1, maxLength: 8 }),
  { minLength: 1, maxLength: 6 },
);

async function change(store: StoreFake, changes: readonly Change[]) {
  // A later change of a key replaces an earlier one.
  const values = new Map(changes.map(({ key, value }) => [key, value]));
  await store.transact({
    conditions: [],
    puts: [...values].flatMap(([key, value]) =>
      value === undefined ? [] : [{ key, value }]
    ),
    deletes: [...values].flatMap(([key, value]) =>
      value === undefined ? [key] : []
    ),
  }, 1);
}

/** Collects the failures of background work, which its owners report. */
function createFailureLog(): CellLog & { readonly failures: unknown[] } {
  const failures: unknown[] = [];
  return {
    ...SILENT_LOG,
    warn: (event, fields) => {
      if (event === FAILURE_EVENT) failures.push(fields);
    },
    failures,
  };
}

function createEntry() {
  const log = createFailureLog();
  const clock = ManualClock.create();
  const store = createStoreFake();
  const follower = createFollower(store, clock);
  const nowUnixMs = () => clock.nowMs();
  const common = { follower, store, clock, nowUnixMs, log };
  const repository = JobRepository.create({
    ...common,
    getStoreDownMs: () => 0,
  });
  const peers = PeerRegistry.create({
    ...common,
    settings: { entry: "own", seeds: [] } as unknown as CellSettings,
  });
  const lease = SchedulerLease.create({
    ...common,
    entry: "own",
    incarnation: "own-1",
    processorShare: 1,
    getProcessorShares: () => peers.processorShares,
    random: { next: () => 0 },
  });
  const load = PublishedLoad.create({ ...common, getStoreDownMs: () => 0 });
  const jobs = JobRegistry.create({
    ...common,
    writer: { mark: () => {}, forget: () => {} },
    closeRun: () => {},
    urgentDemand: UrgentDemand.create(),
    onTaskDone: () => {},
  });
  follower.changes.subscribe((rows) => jobs.applyRows(rows));
  const collector = EndedJobCollector.create({ ...common, retentionMs: 1e9 });
  return { ...common, repository, peers, lease, load, jobs, collector };
}

/** What callers and the lease holder do with the rows. */
async function useRows(entry: ReturnType<typeof createEntry>): Promise<void> {
  const { clock, store, follower, repository, collector, jobs } = entry;
  for (const jobId of ODD_JOBS) {
    const key = jobKey(jobId);
    const before = store.rows().get(key);
    const call = async <Outcome>(outcome: Promise<Outcome>) => {
      await clock.advance(500);
      return await outcome;
    };
    const deadlineMs = clock.nowMs() + 400;
    const state = await call(
      repository.getState(jobId, OTHER_REQUESTER, deadlineMs),
    );
    if (state.kind === "state") {
      expect(state.state).to.be.oneOf([
        "queued",
        "running",
        "completed",
        "failed",
        "cancelled",
      ]);
    }
    if (state.kind === "absent" && before !== undefined) {
      expect(state.reason).to.not.equal("no row");
    }
    const cancel = await call(
      repository.cancel(jobId, REQUESTER, clock.nowMs() + 400),
    );
    if (state.kind === "unreadable") {
      expect(cancel.kind).to.equal("unreadable");
      expect(store.rows().get(key)).to.equal(before);
    }
    await call(
      repository.submit(createSpec(jobId, OWNER), clock.nowMs() + 400),
    );
    await call(repository.refuse(jobId, clock.nowMs() + 400));
    findAccountOfEnded(`${jobId}.0.0.0` as never, follower);
  }
  for (let group = 0; group < 16; group++) await collector.collect();
  jobs.openDueUnits();
}

/** Starts a lease holder, and the next one whenever another writer has changed a running job. */
function startHolders(simulation: CellSimulation): void {
  const startNext = () => startHolders(simulation);
  simulation.startScheduler(
    () => true,
    () => void simulation.clock.after(SCHEDULER_LEASE_MS, startNext),
  );
}

describe("odd rows in the state table", () => {
  it("end no process of an entry, and the good rows beside them have their effect", async () => {
    await fc.assert(
      fc.asyncProperty(oddChanges, oddChanges, async (earlier, later) => {
        const entry = createEntry();
        const { clock, store, follower, repository, peers, lease } = entry;
        const { load, jobs } = entry;
        const epochs: number[] = [];
        lease.changes.subscribe((event) => {
          if (event.kind === "acquired") epochs.push(event.epoch);
        });
        const errors = await collectUnhandledErrors(async () => {
          for (let epoch = 1; epoch <= EARLIER_EPOCH; epoch++) {
            const value = encodeRow({ ...LEASE, epoch });
            await change(store, [{ key: LEASE_KEY, value }]);
          }
          const [beforeStart = [], ...afterStart] = earlier;
          await change(store, beforeStart);
          clock.every(10, () => void follower.reload(0));
          lease.start();
          for (const changes of afterStart) {
            await change(store, changes);
            await clock.advance(100);
          }
          await useRows(entry);
          const [first = [], ...rest] = later;
          await change(store, [
            ...first,
            { key: peerKey("good"), value: encodeRow(GOOD_PEER) },
            {
              key: jobKey(GOOD),
              value: encodeRow({ kind: "live", spec: GOOD_SPEC }),
            },
          ]);
          for (const changes of rest) {
            await change(store, changes);
            await clock.advance(100);
          }
          const acquired = epochs.length;
          const holds = lease.canAct();
          // Besides the lease's time: the delays for larger entries and after a handover.
          await clock.advance(2 * SCHEDULER_LEASE_MS + 2_000);
          expect(epochs.length > acquired || holds && lease.canAct()).to.equal(
            true,
          );
        });
        expect([...errors, ...entry.log.failures]).to.deep.equal([]);
        expect([...epochs].sort((left, right) => left - right)).to.deep.equal(
          epochs,
        );
        expect(new Set(epochs).size).to.equal(epochs.length);
        expect(Math.min(...epochs)).to.be.greaterThan(EARLIER_EPOCH);
        expect(peers.addresses).to.deep.include({
          host: GOOD_PEER.host,
          port: GOOD_PEER.port,
        });
        expect(Number.isFinite(peers.processorShares.largest)).to.equal(true);
        expect(repository.countWaiting(createQueue({ queue: GOOD_SPEC.queue })))
          .to.equal(1);
        const good = jobs.jobs.find(({ jobId }) => jobId === GOOD);
        expect(good?.units.size).to.equal(2);
        const state = await repository.getState(GOOD, REQUESTER, Infinity);
        expect(state).to.deep.equal({ kind: "state", state: "queued" });
        // The load counts again with the next readable rows of both.
        const row = { holder: "h", incarnation: "i", handedOverUnixMs: 0 };
        const epoch = epochs.at(-1) ?? 1;
        await change(store, [
          {
            key: LEASE_KEY,
            value: encodeRow({ ...row, epoch, beat: 1, isReleased: false }),
          },
          {
            key: LOAD_KEY,
            value: encodeRow({ services: [], queues: [], epoch, beat: 1 }),
          },
        ]);
        await follower.reload(0);
        expect(load.usable?.epoch).to.equal(epoch);
      }),
      { seed: SEED, numRuns: ENTRY_RUNS },
    );
  });

  it("keep no lease holder from running the jobs beside them", async () => {
    await fc.assert(
      fc.asyncProperty(oddChanges, oddChanges, async (earlier, later) => {
        const simulation = CellSimulation.create(["a", "b", "c", "d"]);
        const { clock, store } = simulation;
        const log = createFailureLog();
        simulation.log = log;
        for (const worker of simulation.workers.values()) {
          worker.taskDurationMs = 100;
        }
        const errors = await collectUnhandledErrors(async () => {
          for (const changes of earlier) await change(store, changes);
          startHolders(simulation);
          await clock.advance(1_000);
          await simulation.submit(GOOD_SPEC);
          for (const changes of later) {
            await change(store, changes);
            await clock.advance(100);
          }
          await clock.advance(10_000);
        });
        expect([...errors, ...log.failures]).to.deep.equal([]);
        expect(simulation.readJob(GOOD_SPEC)).to.include({
          state: "completed",
        });
        expect(simulation.countOverlaps()).to.equal(0);
      }),
      { seed: SEED, numRuns: CELL_RUNS },
    );
  });
});
