/** Faults in the rules of ownership, the closed world and failure domains. */
import type { Mutation } from "./types.ts";

const MODEL = "packages/node/state/model_test.ts";
const SCENARIOS = "packages/node/state/scenarios_test.ts";
const OPERATORS = "packages/node/state/operators_test.ts";
const DECISIONS = "packages/node/ownership";
const ONE_HOLDER = "one holder per failure domain";

export const STATE_MUTATIONS: readonly Mutation[] = [
  {
    name: "give one epoch to two holders",
    promise: ONE_HOLDER,
    file: `${DECISIONS}/decisions.ts`,
    find: `epoch: (row?.epoch ?? 0) + 1`,
    replace: `epoch: row?.epoch ?? 0`,
    spec: MODEL,
    title: "holds its invariants",
  },
  {
    name: "let a late take act at once",
    promise: ONE_HOLDER,
    file: `${DECISIONS}/decisions.ts`,
    find: `actsFromMs: foundMs + OWNERSHIP_TERM_MS,`,
    replace: `actsFromMs: foundMs,`,
    spec: `${DECISIONS}/decisions_test.ts`,
    title: "keep the holder of a late write",
  },
  {
    name: "go on watching a beat over a gap in the reads",
    promise: ONE_HOLDER,
    file: "packages/node/state/row_observation.ts",
    find: `nowMs - previous.lastReadMs <= OBSERVATION_GAP_MS`,
    replace: `nowMs >= previous.lastReadMs`,
    spec: `${DECISIONS}/decisions_test.ts`,
    title: "start the term again",
  },
  {
    name: "close the world without a silent member",
    promise: ONE_HOLDER,
    file: "packages/node/state/cluster_wide_outage.ts",
    find: `member.heard !== undefined && !member.heard.tableReachable`,
    replace: `!(member.heard?.tableReachable ?? false)`,
    spec: MODEL,
    title: "holds its invariants",
  },
  {
    name: "close the world though a member reaches the table",
    promise: ONE_HOLDER,
    file: "packages/node/state/cluster_wide_outage.ts",
    find: `member.heard !== undefined && !member.heard.tableReachable`,
    replace: `member.heard !== undefined`,
    spec: "packages/node/state/cluster_wide_outage_test.ts",
    title: "needs every member in contact",
  },
  {
    name: "overlook that a member holds the failure domain",
    promise: ONE_HOLDER,
    file: "packages/node/state/cluster_wide_outage.ts",
    find: `held.failureDomain !== failureDomain || held.epoch < epoch`,
    replace: `held.failureDomain !== failureDomain || held.epoch >= 0`,
    spec: MODEL,
    title: "holds its invariants",
  },
  {
    name: "never let a settled member vouch for a joiner",
    promise: ONE_HOLDER,
    file: "packages/node/membership/membership_controller.ts",
    find: `return this.#hasMet = this.#isVouchedFor() ||`,
    replace: `return this.#hasMet =`,
    spec: SCENARIOS,
    title: "is taken over by joiners",
  },
  {
    name: "let the last word stand between an out and an in",
    promise: "no_start_in_domain_out",
    file: "packages/node/failure_domains/decisions.ts",
    find:
      `return incoming.state === FAILURE_DOMAIN_STATE.OUT ? incoming : current;`,
    replace: `return incoming;`,
    spec: "packages/node/failure_domains/decisions_test.ts",
    title: "stand the same in whatever order",
  },
  {
    name: "renew a lease whatever became of the failure domain",
    promise: "no_start_in_domain_out",
    file: `${DECISIONS}/owned_leases.ts`,
    find: `this.#options.failureDomains.createCondition(failureDomain),`,
    replace: ``,
    spec: OPERATORS,
    title: "reach an owner that is cut from its peers",
  },
];
