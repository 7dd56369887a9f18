/**
 * Property-based test of ownership, configuration and failure domains on the small model.
 * `MODEL_SEED` and `MODEL_RUNS` choose other and longer runs, `MODEL_PRINT` prints their counts.
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

function createAction(kind: ModelAction["kind"], entry: number, steps: number) {
  return { kind, entry, other: 0, steps };
}

/** Action sequences that failed in earlier runs. */
const EXAMPLES: ModelAction[][] = [
  /** An owner acted in a cluster-wide outage though it had not received a durable out. */
  [
    createAction("isolate", 1, 1),
    createAction("out", 0, 1),
    createAction("cut_store", 1, 7),
    createAction("cut_all_stores", 0, 0),
    createAction("mend_all_links", 0, 0),
    createAction("wait", 0, 9),
  ],
  /** An out was answered as binding though a peer had read the row of a joiner. */
  [
    createAction("join_in_outage", 1, 3),
    createAction("isolate", 3, 0),
    createAction("wait", 0, 16),
    createAction("out", 1, 18),
  ],
];

describe("model of ownership", () => {
  it(`holds its invariants over ${RUNS} runs of seed ${SEED}`, () => {
    const counts = { starts: 0, takeovers: 0, outageSteps: 0 };
    fc.assert(
      fc.property(
        fc.array(ACTION, { maxLength: MAXIMUM_ACTIONS }),
        (actions) => {
          const cluster = ModelCluster.create(3);
          for (const action of actions) cluster.apply(action);
          counts.starts += cluster.effectiveStarts;
          counts.takeovers += cluster.takeovers - 1;
          counts.outageSteps += cluster.outageSteps;
          expect(cluster.violations).to.eql([]);
        },
      ),
      { seed: SEED, numRuns: RUNS, examples: EXAMPLES.map((one) => [one]) },
    );
    if (process.env.MODEL_PRINT) console.log(counts);
    expect(counts.starts).to.be.greaterThan(RUNS);
    expect(counts.takeovers).to.be.greaterThan(RUNS / 100);
    expect(counts.outageSteps).to.be.greaterThan(RUNS / 100);
  });
});
