import { expect } from "chai";
import type { WriteId } from "@coltsfootpond/common";
import type { TableRow, TableTransaction } from "../types.ts";
import { settleTransaction } from "./settlement.ts";

const OWN = "own" as WriteId;
const OTHER = "other" as WriteId;

function createRow(key: string, version: number, writeId: WriteId): TableRow {
  return { key, version, writeId, value: {} } as TableRow;
}

/** Writes the row `written` on condition that another row still has version 1. */
const CONDITION_ON_OTHER_ROW: TableTransaction = {
  writeId: OWN,
  conditions: [{ kind: "version", key: "guard", version: 1 }],
  writes: [{ kind: "put", key: "written", value: {} }],
};

/** Writes the row `written` on condition that it still has version 1. */
const CONDITION_ON_WRITTEN_ROW: TableTransaction = {
  ...CONDITION_ON_OTHER_ROW,
  conditions: [{ kind: "version", key: "written", version: 1 }],
};

describe("settlement of a transaction whose response was lost", () => {
  it("finds it made by the id of its write", () => {
    const rows = [createRow("written", 7, OWN)];
    expect(settleTransaction(CONDITION_ON_OTHER_ROW, rows)).to.equal("made");
    expect(settleTransaction(CONDITION_ON_WRITTEN_ROW, rows)).to.equal("made");
  });

  it("finds it not made when its row is unchanged or another write made the next change", () => {
    for (
      const row of [
        createRow("written", 1, OTHER),
        createRow("written", 2, OTHER),
      ]
    ) {
      expect(settleTransaction(CONDITION_ON_WRITTEN_ROW, [row])).to.equal(
        "not_made",
      );
    }
  });

  it("is unknown when later writes may have replaced the rows that it wrote", () => {
    const later = createRow("written", 9, OTHER);
    expect(settleTransaction(CONDITION_ON_WRITTEN_ROW, [later])).to.equal(
      "unknown",
    );
    const guard = createRow("guard", 2, OTHER);
    expect(settleTransaction(CONDITION_ON_OTHER_ROW, [guard, later])).to.equal(
      "unknown",
    );
    // The row may have been written and deleted since.
    expect(settleTransaction(CONDITION_ON_OTHER_ROW, [guard])).to.equal(
      "unknown",
    );
  });

  it("finds a transaction without writes not made", () => {
    const check = { ...CONDITION_ON_OTHER_ROW, writes: [] };
    expect(settleTransaction(check, [createRow("guard", 2, OTHER)])).to.equal(
      "not_made",
    );
  });
});
