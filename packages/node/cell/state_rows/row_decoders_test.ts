/** Tests of which values count as rows of each kind. */
import type { CellJobId, CellJobSpec, StepSpec } from "@coltsfootpond/policy";
import type { WorkerTarget } from "@coltsfootpond/ports";
import { expect } from "chai";
import { pack } from "msgpackr";
import { MAXIMUM_BEAT, MAXIMUM_EPOCH, RUNS_PER_EPOCH } from "../constants.ts";
import { RosterRows } from "../roster/roster_rows.ts";
import { encodeRow, ROSTER_KEY } from "../rows.ts";
import { readSpeedsRow } from "../speeds/speeds_row.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import {
  decodeBegunJobsRow,
  decodeLeaseRow,
  decodePeerRow,
} from "./cell_rows.ts";
import { decodeJobRow, decodeRefusalRow } from "./job_row.ts";
import { decodeLoadRow } from "./load_row.ts";
import { decodeProgressRow } from "./progress_row.ts";

const JOB = "5c0e7a21d94b36f8" as CellJobId;
const UNIX_MS = 1_764_910_000_123;
const NEED = { cpuMilli: 500, memoryMib: 256, accelerators: 2 };
const GANG = createStep({
  count: 4,
  need: NEED,
  estimateMs: 900,
  isGang: true,
  isRackBound: true,
  requiredLabel: "kind-a",
  dataRack: "r1-3" as StepSpec["dataRack"],
  maximumPerWorker: 2,
});
const TASKS = createStep({
  count: 20,
  need: NEED,
  estimateMs: 900,
  after: [0],
  savesProgress: true,
});
const SPEC = createSpec(JOB, {
  organisation: "org" as CellJobSpec["organisation"],
  priority: 0,
  stretch: 2.5,
  acceptedUnixMs: UNIX_MS,
  payload: "text",
  steps: [GANG, TASKS],
  recurrence: { times: 3, firstRunUnixMs: UNIX_MS + 4_877, intervalMs: 250 },
});
const PUBLIC_SPEC = {
  ...SPEC,
  organisation: undefined,
  steps: [{ ...TASKS, after: [] }],
  recurrence: undefined,
};
const ENDED = {
  kind: "ended",
  queue: SPEC.queue,
  organisation: SPEC.organisation,
  endedUnixMs: UNIX_MS,
} as const;
const PROGRESS = {
  writeId: "w1",
  record: {
    "0.0": { done: [0], failures: [], checkpoints: [] },
    "2.1": {
      done: [3, 17],
      failures: [[4, 7_000_001]],
      checkpoints: [[5, "00000bb87a21d94b"]],
      crashes: [[6, 7_000_002, "at_start", "10.0.0.1"]],
    },
  },
  placements: [
    ["2.1.5", 7_000_003, ["w1", "w2"], [1_764_910_000_001, 0]],
    ["2.1.6", 0, ["w3"]],
  ],
} as const;
const LEASE = {
  holder: "front-1",
  incarnation: "i1",
  isReleased: false,
  epoch: 7,
  beat: 1_234,
  handedOverUnixMs: UNIX_MS,
};
const PEER = { host: "10.0.0.7", port: 4_711, processorShare: 1.4 };
const LOAD = {
  services: [{
    service: "service",
    reference: NEED,
    free: NEED,
    slots: [4, 2],
    headroomAccelerators: 1,
    hasEvictableRuns: true,
    rate: 0.75,
    runningWorkMs: 900,
    waiting: [[-3, 1_200]],
    arriving: [[2, 0.5]],
    singleTaskRate: 0.1,
    waitingSingleTasks: [],
  }],
  queues: [{ queue: "queue", meanWorkMs: 800, durationRatio: 1.2 }],
  epoch: 7,
  beat: 1_200,
};
const SPEEDS = { unixMs: UNIX_MS, workers: [["w1", 4_711, -2]] };

const decodeJob = (value: Uint8Array) => decodeJobRow(JOB, value);
const decodeProgress = (value: Uint8Array) => decodeProgressRow(value, SPEC);
const decodeSpeeds = (value: Uint8Array) => readSpeedsRow(value, UNIX_MS);

/** The workers of a row of the roster; undefined when it names none. */
function decodeRoster(value: Uint8Array): unknown {
  const row = { key: ROSTER_KEY, version: 1, value };
  const workers = RosterRows.create(value.length).load([row], {
    decodeWorkerTarget: (worker, address) =>
      typeof worker === "string" && typeof address === "string"
        ? { worker, address } as WorkerTarget
        : undefined,
  }).map(({ worker, address }) => [worker, address]);
  return workers.length === 0 ? undefined : { workers };
}

const DECODERS = [
  decodeJob,
  decodeRefusalRow,
  decodeProgress,
  decodeLeaseRow,
  decodePeerRow,
  decodeBegunJobsRow,
  decodeRoster,
  decodeLoadRow,
  decodeSpeeds,
];

/** Rows as they lie in stores that run at present: bytes that version b99dd7d encoded. */
const STORED: readonly (readonly [
  decode: (value: Uint8Array) => unknown,
  row: unknown,
  base64: string,
])[] = [
  [
    decodeJob,
    { kind: "live", spec: SPEC },
    "3gACpGtpbmSkbGl2ZaRzcGVj3gAMpWpvYklksDVjMGU3YTIxZDk0YjM2ZjilcXVldWWlcXVldWWnc2VydmljZadzZXJ2aWNlrG9yZ2FuaXNhdGlvbqNvcmeocHJpb3JpdHkAr21heGltdW1BdHRlbXB0cwOnc3RyZXRjaMtABAAAAAAAAKthbGxvd2FuY2VNc80D6K5hY2NlcHRlZFVuaXhNc8tCea7NVn+wAKdwYXlsb2FkpHRleHSlc3RlcHOS3gAMpWNvdW50BKRuZWVk3gADqGNwdU1pbGxpzQH0qW1lbW9yeU1pYs0BAKxhY2NlbGVyYXRvcnMCqmVzdGltYXRlTXPNA4SlYWZ0ZXKQrXNhdmVzUHJvZ3Jlc3PCpmlzR2FuZ8OraXNSYWNrQm91bmTDrXJlcXVpcmVkTGFiZWyma2luZC1hqGRhdGFSYWNrpHIxLTOwbWF4aW11bVBlcldvcmtlcgKsaXNQZXJzaXN0ZW50wqhpc0ZpbGxlcsLeAAylY291bnQUpG5lZWTeAAOoY3B1TWlsbGnNAfSpbWVtb3J5TWlizQEArGFjY2VsZXJhdG9ycwKqZXN0aW1hdGVNc80DhKVhZnRlcpEArXNhdmVzUHJvZ3Jlc3PDpmlzR2FuZ8KraXNSYWNrQm91bmTCrXJlcXVpcmVkTGFiZWzUAACoZGF0YVJhY2vUAACwbWF4aW11bVBlcldvcmtlctQAAKxpc1BlcnNpc3RlbnTCqGlzRmlsbGVywqpyZWN1cnJlbmNl3gADpXRpbWVzA65maXJzdFJ1blVuaXhNc8tCea7NV7CAAKppbnRlcnZhbE1zzPo=",
  ],
  [
    decodeJob,
    { kind: "live", spec: PUBLIC_SPEC },
    "3gACpGtpbmSkbGl2ZaRzcGVj3gAMpWpvYklksDVjMGU3YTIxZDk0YjM2ZjilcXVldWWlcXVldWWnc2VydmljZadzZXJ2aWNlrG9yZ2FuaXNhdGlvbtQAAKhwcmlvcml0eQCvbWF4aW11bUF0dGVtcHRzA6dzdHJldGNoy0AEAAAAAAAAq2FsbG93YW5jZU1zzQPormFjY2VwdGVkVW5peE1zy0J5rs1Wf7AAp3BheWxvYWSkdGV4dKVzdGVwc5HeAAylY291bnQUpG5lZWTeAAOoY3B1TWlsbGnNAfSpbWVtb3J5TWlizQEArGFjY2VsZXJhdG9ycwKqZXN0aW1hdGVNc80DhKVhZnRlcpCtc2F2ZXNQcm9ncmVzc8OmaXNHYW5nwqtpc1JhY2tCb3VuZMKtcmVxdWlyZWRMYWJlbNQAAKhkYXRhUmFja9QAALBtYXhpbXVtUGVyV29ya2Vy1AAArGlzUGVyc2lzdGVudMKoaXNGaWxsZXLCqnJlY3VycmVuY2XUAAA=",
  ],
  [
    decodeJob,
    { ...ENDED, state: "completed" },
    "3gAFpGtpbmSlZW5kZWSlc3RhdGWpY29tcGxldGVkpXF1ZXVlpXF1ZXVlrG9yZ2FuaXNhdGlvbqNvcmerZW5kZWRVbml4TXPLQnmuzVZ/sAA=",
  ],
  [
    decodeJob,
    { ...ENDED, state: "failed", reason: "crashes", organisation: undefined },
    "3gAGpGtpbmSlZW5kZWSlc3RhdGWmZmFpbGVkpnJlYXNvbqdjcmFzaGVzpXF1ZXVlpXF1ZXVlrG9yZ2FuaXNhdGlvbtQAAKtlbmRlZFVuaXhNc8tCea7NVn+wAA==",
  ],
  [
    decodeJob,
    { ...ENDED, state: "failed" },
    "3gAFpGtpbmSlZW5kZWSlc3RhdGWmZmFpbGVkpXF1ZXVlpXF1ZXVlrG9yZ2FuaXNhdGlvbqNvcmerZW5kZWRVbml4TXPLQnmuzVZ/sAA=",
  ],
  [
    decodeJob,
    { kind: "barred", endedUnixMs: UNIX_MS },
    "3gACpGtpbmSmYmFycmVkq2VuZGVkVW5peE1zy0J5rs1Wf7AA",
  ],
  [
    decodeRefusalRow,
    { kind: "refused", endedUnixMs: UNIX_MS },
    "3gACpGtpbmSncmVmdXNlZKtlbmRlZFVuaXhNc8tCea7NVn+wAA==",
  ],
  [
    decodeProgress,
    PROGRESS,
    "3gADp3dyaXRlSWSidzGmcmVjb3Jk3gACozAuMN4AA6Rkb25lkQCoZmFpbHVyZXOQq2NoZWNrcG9pbnRzkKMyLjHeAASkZG9uZZIDEahmYWlsdXJlc5GSBM4Aas/Bq2NoZWNrcG9pbnRzkZIFsDAwMDAwYmI4N2EyMWQ5NGKnY3Jhc2hlc5GUBs4Aas/CqGF0X3N0YXJ0qDEwLjAuMC4xqnBsYWNlbWVudHOSlKUyLjEuNc4Aas/DkqJ3MaJ3MpLLQnmuzVZ4EAAAk6UyLjEuNgCRoncz",
  ],
  [
    decodeLeaseRow,
    LEASE,
    "3gAGpmhvbGRlcqdmcm9udC0xq2luY2FybmF0aW9uomkxqmlzUmVsZWFzZWTCpWVwb2NoB6RiZWF0zQTSsGhhbmRlZE92ZXJVbml4TXPLQnmuzVZ/sAA=",
  ],
  [
    decodePeerRow,
    PEER,
    "3gADpGhvc3SoMTAuMC4wLjekcG9ydM0SZ65wcm9jZXNzb3JTaGFyZcs/9mZmZmZmZg==",
  ],
  [
    decodeBegunJobsRow,
    { jobIds: [JOB] },
    "3gABpmpvYklkc5GwNWMwZTdhMjFkOTRiMzZmOA==",
  ],
  [
    decodeRoster,
    { workers: [["w1", "10.0.0.1:8001"]] },
    "3gABp3dvcmtlcnORkqJ3Ma0xMC4wLjAuMTo4MDAx",
  ],
  [
    decodeLoadRow,
    LOAD,
    "3gAEqHNlcnZpY2Vzkd4ADKdzZXJ2aWNlp3NlcnZpY2WpcmVmZXJlbmNl3gADqGNwdU1pbGxpzQH0qW1lbW9yeU1pYs0BAKxhY2NlbGVyYXRvcnMCpGZyZWXeAAOoY3B1TWlsbGnNAfSpbWVtb3J5TWlizQEArGFjY2VsZXJhdG9ycwKlc2xvdHOSBAK0aGVhZHJvb21BY2NlbGVyYXRvcnMBsGhhc0V2aWN0YWJsZVJ1bnPDpHJhdGXLP+gAAAAAAACtcnVubmluZ1dvcmtNc80DhKd3YWl0aW5nkZL9zQSwqGFycml2aW5nkZICyz/gAAAAAAAArnNpbmdsZVRhc2tSYXRlyz+5mZmZmZmasndhaXRpbmdTaW5nbGVUYXNrc5CmcXVldWVzkd4AA6VxdWV1ZaVxdWV1ZaptZWFuV29ya01zzQMgrWR1cmF0aW9uUmF0aW/LP/MzMzMzMzOlZXBvY2gHpGJlYXTNBLA=",
  ],
  [decodeSpeeds, SPEEDS, "3gACpnVuaXhNc8tCea7NVn+wAKd3b3JrZXJzkZOidzHNEmf+"],
];

describe("decoders of the state table's rows", () => {
  // Guards against a new version that skips the rows of a store in use.
  it("read every kind of stored row as before, and no row as another kind", () => {
    for (const [decode, row, base64] of STORED) {
      const value = Buffer.from(base64, "base64");
      expect(decode(value)).to.deep.equal(row);
      const others = DECODERS.filter((other) => other !== decode);
      expect(others.map((other) => other(value))).to.deep.equal(
        others.map(() => undefined),
      );
    }
  });

  it("read nothing from rows that are cut short", () => {
    for (const [decode, , base64] of STORED) {
      const value = Buffer.from(base64, "base64");
      for (let length = 0; length < value.length; length++) {
        expect(decode(value.subarray(0, length))).to.equal(undefined);
      }
    }
  });

  it("read rows to which a later version has added fields", () => {
    const row = { ...ENDED, state: "failed", reason: "too old", added: [1] };
    const { reason: _, ...known } = row;
    expect(decodeJob(pack(row))).to.deep.equal(known);
    expect(decodeLeaseRow(pack({ ...LEASE, added: 1 }))).to.include(LEASE);
  });

  // Guards against a job that is opened under another id, or whose steps throw or never end.
  it("read no job that the scheduler could not handle", () => {
    const live = (overrides: object) =>
      decodeJob(pack({ kind: "live", spec: { ...SPEC, ...overrides } }));
    expect(live({})).to.deep.equal({ kind: "live", spec: SPEC });
    for (
      const overrides of [
        { jobId: "00000000000000aa" },
        { queue: 1 },
        { organisation: null },
        { keyTag: 1 },
        { addressTag: [] },
        { priority: Number.NaN },
        { stretch: "2" },
        { allowanceMs: Infinity },
        { steps: [] },
        { steps: {} },
        { steps: [GANG, { ...TASKS, after: [1] }] },
        { steps: [GANG, { ...TASKS, after: [0.5] }] },
        { steps: [{ ...GANG, count: 0 }] },
        { steps: [{ ...GANG, count: 1.5 }] },
        { steps: [{ ...GANG, count: 1e9 }] },
        { steps: [{ ...GANG, need: { ...NEED, cpuMilli: -1 } }] },
        { steps: [{ ...GANG, need: undefined }] },
        { steps: [{ ...GANG, isGang: 1 }] },
        { recurrence: { ...SPEC.recurrence, times: 1e9 } },
        { recurrence: { ...SPEC.recurrence, intervalMs: "1" } },
      ]
    ) expect(live(overrides), JSON.stringify(overrides)).to.equal(undefined);
    for (
      const row of [
        { ...ENDED, state: "paused" },
        { ...ENDED, state: "queued" },
        { ...ENDED, state: "completed", keyTag: null },
        { ...ENDED, state: "completed", addressTag: 1 },
        { ...ENDED, state: "completed", endedUnixMs: undefined },
        { kind: "barred" },
        { kind: "barred", endedUnixMs: UNIX_MS, origin: 1 },
        { kind: "barred", endedUnixMs: UNIX_MS, origin: { queue: 1 } },
        { kind: "suspended" },
      ]
    ) expect(decodeJob(pack(row)), JSON.stringify(row)).to.equal(undefined);
  });

  it("read no progress that names unknown steps or is of another shape", () => {
    const step = PROGRESS.record["0.0"];
    for (
      const overrides of [
        { writeId: 1 },
        { record: [] },
        { record: { "0.2": step } },
        { record: { "0": step } },
        { record: { "0.-1": step } },
        { record: { "0.0": { ...step, done: undefined } } },
        { record: { "0.0": { ...step, done: [-1] } } },
        { record: { "0.0": { ...step, failures: [4] } } },
        { record: { "0.0": { ...step, checkpoints: [[1, 2]] } } },
        { record: { "0.0": { ...step, crashes: [[1, 2]] } } },
        { placements: undefined },
        { placements: [["0.0", 1, []]] },
        { placements: [["0.0.0", 1, [5]]] },
        { placements: [["0.0.0", 1, ["w1"], []]] },
      ]
    ) {
      const value = pack({ ...PROGRESS, ...overrides });
      expect(decodeProgress(value), JSON.stringify(overrides)).to.equal(
        undefined,
      );
    }
  });

  // Workers list runs of any number and tasks of any index, and records follow what they list.
  it("read progress of task names that no start has named", () => {
    const step = {
      done: [1e20],
      failures: [[1e20, Infinity]],
      checkpoints: [],
    };
    const row = { ...PROGRESS, record: { "1e+21.1": step } };
    expect(decodeProgress(pack(row))).to.deep.equal(row);
  });

  it("read no lease whose epoch or beat cannot be counted on", () => {
    expect(2 * MAXIMUM_EPOCH * RUNS_PER_EPOCH).to.be.at.most(
      Number.MAX_SAFE_INTEGER,
    );
    const highest = { ...LEASE, epoch: MAXIMUM_EPOCH, beat: MAXIMUM_BEAT };
    expect(decodeLeaseRow(pack(highest))).to.deep.equal(highest);
    for (
      const overrides of [
        { epoch: MAXIMUM_EPOCH + 1 },
        { epoch: 0 },
        { epoch: -1 },
        { epoch: 1.5 },
        { epoch: Number.NaN },
        { epoch: "7" },
        { beat: MAXIMUM_BEAT + 1 },
        { beat: undefined },
        { handedOverUnixMs: undefined },
        { isReleased: 1 },
        { holder: null },
      ]
    ) {
      const value = pack({ ...LEASE, ...overrides });
      expect(decodeLeaseRow(value), JSON.stringify(overrides)).to.equal(
        undefined,
      );
    }
  });

  it("read no peer to which nothing can be sent, or whose share is no share", () => {
    for (
      const overrides of [
        { host: "" },
        { host: "a b" },
        { host: "a\r\nb" },
        { host: "a–b" },
        { port: 0 },
        { port: 80_800 },
        { port: 80.5 },
        { port: "80" },
        { processorShare: undefined },
        { processorShare: Number.NaN },
        { processorShare: Infinity },
        { processorShare: 1e308 },
        { processorShare: -1 },
      ]
    ) {
      const value = pack({ ...PEER, ...overrides });
      expect(decodePeerRow(value), JSON.stringify(overrides)).to.equal(
        undefined,
      );
    }
  });

  it("never throw, also for deep and for endless values", () => {
    const deep = new Uint8Array(20_000).fill(0x91);
    const endless = [0xdd, 0xde, 0xdf].map((token) =>
      new Uint8Array([token, 0xff, 0xff, 0xff, 0xff])
    );
    for (const value of [deep, ...endless, new Uint8Array(0)]) {
      for (const decode of DECODERS) expect(decode(value)).to.equal(undefined);
    }
    // Decoding goes on as before after values that could not be decoded.
    expect(decodeLeaseRow(encodeRow(LEASE))).to.deep.equal(LEASE);
  });
});
