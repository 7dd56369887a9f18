import { expect } from "chai";
import {
  classifyLostRun,
  type Crash,
  CRASH_EVIDENCE,
  isGivenUp,
  isSuspect,
  type LostRun,
} from "./crash_evidence.ts";

const { AT_START, UNCERTAIN } = CRASH_EVIDENCE;
/** A run whose worker's connection closed right after the start. */
const PROMPT_LOSS: LostRun = {
  isClosed: true,
  lostAfterMs: 12,
  survivedMs: 0,
  otherLostWorkers: 0,
};

function createCrashes(
  evidence: Crash["evidence"],
  machines: readonly string[],
): readonly Crash[] {
  return machines.map((machine, run) => ({ run, evidence, machine }));
}

describe("the evidence of a lost run", () => {
  it("is sure when the connection closed right after the start", () => {
    expect(classifyLostRun(PROMPT_LOSS)).to.equal(AT_START);
  });

  // Guards against blaming a task for the end of a worker on which it had run well.
  it("is none for a run that lasted", () => {
    const run = { ...PROMPT_LOSS, lostAfterMs: 2_500, survivedMs: 1_000 };
    expect(classifyLostRun(run)).to.equal(undefined);
  });

  it("is uncertain when the connection closed later or nobody saw it", () => {
    for (const lostAfterMs of [1_001, undefined]) {
      expect(classifyLostRun({ ...PROMPT_LOSS, lostAfterMs })).to.equal(
        UNCERTAIN,
      );
    }
    const unseen = { ...PROMPT_LOSS, isClosed: undefined };
    expect(classifyLostRun(unseen)).to.equal(UNCERTAIN);
  });

  // Guards against blaming tasks for a power loss.
  it("is uncertain when several other workers were lost with it", () => {
    expect(classifyLostRun({ ...PROMPT_LOSS, otherLostWorkers: 2 })).to.equal(
      AT_START,
    );
    expect(classifyLostRun({ ...PROMPT_LOSS, otherLostWorkers: 3 })).to.equal(
      UNCERTAIN,
    );
  });

  // Guards against blaming tasks for a cut behind which the workers restart.
  it("is none when several workers fell silent together", () => {
    const silent = { ...PROMPT_LOSS, isClosed: false };
    expect(classifyLostRun(silent)).to.equal(UNCERTAIN);
    expect(classifyLostRun({ ...silent, otherLostWorkers: 3 })).to.equal(
      undefined,
    );
  });
});

describe("a unit under which workers have crashed", () => {
  it("is given up after three crashes at the start on different machines", () => {
    expect(isGivenUp(createCrashes(AT_START, ["a", "b"]))).to.equal(false);
    expect(isGivenUp(createCrashes(AT_START, ["a", "b", "c"]))).to.equal(true);
  });

  // Guards against blaming a task for a machine that crashes by itself, and against more than two
  // starts after the third crash.
  it("is given up after five crashes whatever their evidence", () => {
    const four = createCrashes(AT_START, ["a", "a", "a", "a"]);
    expect(isGivenUp(four)).to.equal(false);
    for (const evidence of [AT_START, UNCERTAIN]) {
      const crashes = createCrashes(evidence, ["a", "a", "a", "a", "a"]);
      expect(isGivenUp(crashes)).to.equal(true);
    }
  });

  it("is suspect after one crash at the start or two others", () => {
    expect(isSuspect(createCrashes(UNCERTAIN, ["a"]))).to.equal(false);
    expect(isSuspect(createCrashes(UNCERTAIN, ["a", "b"]))).to.equal(true);
    expect(isSuspect(createCrashes(AT_START, ["a"]))).to.equal(true);
  });
});
