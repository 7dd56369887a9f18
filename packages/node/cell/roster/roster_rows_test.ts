import type { WorkerAddress, WorkerName } from "@coltsfootpond/common";
import type {
  RecordDecoder,
  StateRow,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { expect } from "chai";
import fc from "fast-check";
import { encodeRow } from "../rows.ts";
import {
  encodeRoster,
  type RosterContents,
  RosterRows,
} from "./roster_rows.ts";

const ROW_LIMIT_BYTES = 400;
const DECODER: Pick<RecordDecoder, "decodeWorkerTarget"> = {
  decodeWorkerTarget: (worker, address) =>
    typeof worker === "string" && typeof address === "string"
      ? createTarget(worker, address)
      : undefined,
};

function createTarget(worker: string, address = "10.0.0.1:1"): WorkerTarget {
  return { worker: worker as WorkerName, address: address as WorkerAddress };
}

function createTargets(count: number): readonly WorkerTarget[] {
  return Array.from(
    { length: count },
    (_, number) => createTarget(`w${number}`),
  );
}

function listNames(rows: readonly RosterContents[]): readonly string[] {
  return rows.flatMap(({ workers }) => workers.map(({ worker }) => worker));
}

function toRow(contents: RosterContents): StateRow {
  return { key: contents.key, version: 1, value: encodeRoster(contents) };
}

describe("the rows of the roster", () => {
  it("have a bounded size and list each worker once", () => {
    const workers = fc.uniqueArray(fc.string({ maxLength: 20 }), {
      maxLength: 200,
    });
    fc.assert(
      fc.property(
        fc.array(workers, { minLength: 1, maxLength: 5 }),
        (lists) => {
          const roster = RosterRows.create(ROW_LIMIT_BYTES);
          for (const names of lists) {
            roster.replace(names.map((name) => createTarget(name)));
            const { stored, changed } = roster.compare();
            expect([...listNames([...stored, ...changed])].sort()).to.deep
              .equal(
                [...names].sort(),
              );
            changed.forEach((row) => {
              expect(encodeRoster(row).length).to.be.at.most(ROW_LIMIT_BYTES);
              roster.recordWrite(row, true);
            });
          }
        },
      ),
      { seed: 51, numRuns: 200 },
    );
  });

  it("stay as they are when other workers come and go", () => {
    const roster = RosterRows.create(ROW_LIMIT_BYTES);
    const targets = createTargets(40);
    roster.replace(targets);
    const rows = roster.compare().changed;
    expect(rows.length).to.be.greaterThan(2);
    rows.forEach((row) => roster.recordWrite(row, true));
    roster.replace(targets.slice(1));
    expect(roster.compare().changed.map(({ key }) => key)).to.deep.equal([
      rows[0]!.key,
    ]);
  });

  it("are all written again by a later holder, and those that it leaves empty too", () => {
    const earlier = RosterRows.create(ROW_LIMIT_BYTES);
    earlier.replace(createTargets(40));
    const rows = earlier.compare().changed;
    const later = RosterRows.create(ROW_LIMIT_BYTES);
    expect(later.load(rows.map(toRow), DECODER)).to.have.length(40);
    later.replace([createTarget("w0")]);
    const { stored, changed } = later.compare();
    expect(stored).to.deep.equal([]);
    expect(changed.map(({ key }) => key).sort()).to.deep.equal(
      rows.map(({ key }) => key).sort(),
    );
  });

  // Guards against taking a worker as stored after a write that removed it and got no answer.
  it("are written again after a write without an answer", () => {
    const roster = RosterRows.create(ROW_LIMIT_BYTES);
    const write = (isStored: boolean) =>
      roster.compare().changed.forEach((row) =>
        roster.recordWrite(row, isStored)
      );
    roster.replace(createTargets(2));
    write(true);
    roster.replace(createTargets(1));
    write(false);
    roster.replace(createTargets(2));
    expect(listNames(roster.compare().changed)).to.deep.equal(["w0", "w1"]);
  });

  // Guards against a store that an earlier version has filled.
  it("are read in the form of one row over the limit, and moved", () => {
    const row: RosterContents = {
      key: "cell/roster",
      workers: createTargets(90),
    };
    const roster = RosterRows.create(ROW_LIMIT_BYTES);
    const targets = roster.load([toRow(row)], DECODER);
    expect(targets).to.have.length(90);
    roster.replace(targets);
    const { changed } = roster.compare();
    expect(listNames(changed)).to.have.length(90);
    changed.forEach((contents) =>
      expect(encodeRoster(contents).length).to.be.at.most(ROW_LIMIT_BYTES)
    );
  });

  it("skip bytes and items that are no worker", () => {
    const value = (bytes: readonly number[]) => new Uint8Array(bytes);
    const rows: readonly StateRow[] = [
      { key: "cell/roster", version: 1, value: value([0xc1]) },
      { key: "cell/roster-1", version: 1, value: value([]) },
      { key: "cell/roster-2", version: 1, value: value([0xc0]) },
      { key: "cell/roster-3", version: 1, value: value([0x07]) },
      {
        key: "cell/roster-4",
        version: 1,
        value: encodeRow(
          { workers: [["good", "10.0.0.1:1"], ["bad", 7], 7, []] } as never,
        ),
      },
      toRow({ key: "cell/roster-05", workers: createTargets(1) }),
      { key: "cell/roster-6", version: 1, value: undefined },
    ];
    const roster = RosterRows.create(ROW_LIMIT_BYTES);
    expect(roster.load(rows, DECODER)).to.deep.equal([createTarget("good")]);
  });
});
