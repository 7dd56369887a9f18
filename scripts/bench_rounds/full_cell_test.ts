import { planRound, type WorkerView } from "@coltsfootpond/policy";
import { expect } from "chai";
import { createFullCell } from "./full_cell.ts";

/** Counts how often the planner compares workers, which it does only to sort them. */
function countComparisons(workers: number): number {
  const cell = createFullCell({ workers, seed: 3 });
  let comparisons = 0;
  const views = cell.workers.map((view): WorkerView => ({
    ...view,
    get slowness() {
      comparisons++;
      return 1;
    },
  }));
  planRound({ ...cell, workers: views, running: [] });
  return comparisons;
}

describe("round of a full cell", () => {
  it("sorts no workers for gangs that do not fit, however many workers there are", () => {
    expect(countComparisons(100)).to.equal(0);
    expect(countComparisons(400)).to.equal(0);
  });
});
