/** Tests of the compact form of progress. */
import { Buffer } from "node:buffer";
import { JobProgress, type ProgressRecord } from "@coltsfootpond/policy";
import { expect } from "chai";
import { pack } from "msgpackr";
import { encodeRow } from "../rows.ts";
import { createSpec, createStep } from "../test_fixtures.ts";
import {
  decodeProgressRow,
  encodeProgress,
  joinProgress,
} from "./progress_row.ts";
import { unpackFields } from "./value_checks.ts";

const ROW_LIMIT_BYTES = 65_536;
const TIMES = 20_000;
const SPEC = createSpec("5c0e7a21d94b36f8", {
  steps: [createStep({ count: 2 }), createStep({ count: 4, isGang: true })],
  recurrence: { times: TIMES, firstRunUnixMs: 0, intervalMs: 2_000 },
});
const NO_PLACEMENTS = { writeId: "w1", placements: [] };

/** Progress of a job of which all occurrences but one are complete. */
function createRecord(occurrences: number, open: number): ProgressRecord {
  const progress = JobProgress.create(SPEC);
  for (let occurrence = 0; occurrence < occurrences; occurrence++) {
    const isOpen = occurrence === open;
    progress.recordDone({ occurrence, step: 0, index: 1 });
    if (isOpen) {
      const unit = { occurrence, step: 0, index: 0 };
      progress.recordFailure(unit, 7);
      progress.recordCheckpoint(unit, "c");
      progress.recordCrash(unit, {
        run: 8,
        evidence: "at_start",
        machine: "m",
      });
    } else {
      progress.recordDone({ occurrence, step: 0, index: 0 });
      progress.recordDone({ occurrence, step: 1, index: 0 });
    }
  }
  return progress.toRecord();
}

function encode(record: ProgressRecord): Uint8Array {
  const values = encodeProgress(
    { ...NO_PLACEMENTS, record },
    SPEC,
    ROW_LIMIT_BYTES,
  );
  return joinProgress(values[0]!, (part) => values[part])!;
}

describe("the compact form of progress", () => {
  // Guards against a scheduled job that can't be stored after some hundred occurrences.
  it("keeps its size however many occurrences are complete", () => {
    const record = createRecord(TIMES, 9_000);
    const value = encode(record);
    expect(value.byteLength).to.be.lessThan(400);
    const row = decodeProgressRow(value, SPEC);
    const sorted = (from: ProgressRecord = {}) =>
      Object.entries(from).map(([key, step]) => [
        key,
        { ...step, done: [...step.done].sort() },
      ]).sort(([first], [second]) => first! < second! ? -1 : 1);
    expect(JSON.stringify(sorted(row?.record))).to.equal(
      JSON.stringify(sorted(record)),
    );
  });

  // Guards against rows that an earlier version can't read although it could store them.
  it("is used only for progress that is large in the plain form", () => {
    const record = createRecord(20, 3);
    expect(Buffer.compare(
      encode(record),
      encodeRow({ ...NO_PLACEMENTS, record }),
    )).to.equal(0);
  });

  // Guards against a record that loses units of earlier versions, which would run again.
  it("is not used for numbers that the job does not have", () => {
    const record = {
      ...createRecord(TIMES, 5),
      "20000.0": {
        done: [0],
        failures: [],
        checkpoints: [],
      },
    };
    expect(unpackFields(encode(record))?.record).not.to.equal(undefined);
  });

  // Guards against tasks that run again, or never, after a row that another writer has written.
  it("is not read when it is of another shape", () => {
    const step = { done: [[0, 0]], failures: [], checkpoints: [] };
    const valid = { complete: [[0, 4], [6, 6]], steps: { "5.0": step } };
    const decode = (compact: unknown) =>
      decodeProgressRow(pack({ ...NO_PLACEMENTS, compact }), SPEC);
    expect(Object.keys(decode(valid)?.record ?? {})).to.have.length(13);
    for (
      const compact of [
        undefined,
        [],
        { steps: {} },
        { complete: [] },
        ...[
          [4],
          [[0]],
          [[0, 1, 2]],
          [[1, 0]],
          [[0, 1], [1, 2]],
          [[2, 3], [0, 1]],
          [[0, TIMES]],
          [[-1, 0]],
          [[0, 0.5]],
          [["0", "1"]],
          [[0, 5]],
        ].map((complete) => ({ ...valid, complete })),
        ...["5", "5.2", "05.0", "-1.0", "20000.0", "5.0.0", "x"].map((key) => ({
          ...valid,
          steps: { [key]: step },
        })),
        ...[
          {},
          { ...step, done: [0] },
          { ...step, done: [[0, 2]] },
          { ...step, failures: [4] },
          { ...step, checkpoints: undefined },
          { ...step, crashes: [4] },
        ].map((odd) => ({ ...valid, steps: { "5.0": odd } })),
      ]
    ) {
      expect(decode(compact), JSON.stringify(compact)).to.equal(undefined);
    }
  });
});
