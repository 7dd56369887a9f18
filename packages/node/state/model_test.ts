/**
 * Property-based check of ownership, configuration and failure domains over the small model.
 * `MODEL_SEED` and `MODEL_RUNS` choose other and longer runs.
 */
import { expect } from "chai";
import fc from "fast-check";
import process from "node:process";
import type { ModelAction } from "./model_action.ts";
import { ModelCluster } from "./model.ts";

const SEED = Number(process.env.MODEL_SEED ?? "1");
const RUNS = Number(process.env.MODEL_RUNS ?? "10000");
const MAXIMUM_ACTIONS = 14;

const KINDS: readonly ModelAction["kind"][] = [
  "wait",
  "pause",
  "thaw",
  "kill",
  "join",
  "cut_store",
  "mend_store",
  "cut_all_stores",
  "mend_all_stores",
  "cut_link",
  "mend_link",
  "isolate",
  "mend_all_links",
  "join_in_outage",
  "takeover_then_outage",
  "stale_head",
  "lose_answer",
  "delay_write",
  "out",
  "in",
  "apply",
];

const ACTION: fc.Arbitrary<ModelAction> = fc.record({
  kind: fc.constantFrom(...KINDS),
  entry: fc.nat(3),
  other: fc.nat(40),
  steps: fc.nat(20),
});

function act(kind: ModelAction["kind"], entry: number, steps: number) {
  return { kind, entry, other: 0, steps };
}

/** Runs that once failed. */
const EXAMPLES: ModelAction[][] = [
  /** A holder in a closed world had not heard of a durable out. */
  [
    act("isolate", 1, 1),
    act("out", 0, 1),
    act("cut_store", 1, 7),
    act("cut_all_stores", 0, 0),
    act("mend_all_links", 0, 0),
    act("wait", 0, 9),
  ],
  /** An out counted as binding although a peer had read of a joiner. */
  [
    act("join_in_outage", 1, 3),
    act("isolate", 3, 0),
    act("wait", 0, 16),
    act("out", 1, 18),
  ],
];

describe("model of ownership", () => {
  it(`holds its invariants over ${RUNS} runs of seed ${SEED}`, () => {
    const seen = { starts: 0, takeovers: 0, closedWorldSteps: 0 };
    fc.assert(
      fc.property(
        fc.array(ACTION, { maxLength: MAXIMUM_ACTIONS }),
        (actions) => {
          const world = ModelCluster.create(3);
          for (const action of actions) world.apply(action);
          seen.starts += world.effectiveStarts;
          seen.takeovers += world.takeovers - 1;
          seen.closedWorldSteps += world.closedWorldSteps;
          expect(world.violations).to.eql([]);
        },
      ),
      { seed: SEED, numRuns: RUNS, examples: EXAMPLES.map((one) => [one]) },
    );
    if (process.env.MODEL_PRINT) console.log(seen);
    expect(seen.starts).to.be.greaterThan(RUNS);
    expect(seen.takeovers).to.be.greaterThan(RUNS / 100);
    expect(seen.closedWorldSteps).to.be.greaterThan(RUNS / 100);
  });
});
