/** Mutations of the rules of ownership, cluster-wide outages, membership and failure domains. */
import type { Mutation } from "./types.ts";

const MODEL_TEST = "packages/node/state/model_test.ts";
const SCENARIOS_TEST = "packages/node/state/scenarios_test.ts";
const OPERATORS_TEST = "packages/node/state/operators_test.ts";
const OWNERSHIP = "packages/node/ownership";
const ONE_OWNER = "one owner per failure domain";

export const STATE_MUTATIONS: readonly Mutation[] = [
  {
    name: "give the same epoch to two owners",
    promise: ONE_OWNER,
    file: `${OWNERSHIP}/decisions.ts`,
    find: `epoch: (row?.epoch ?? 0) + 1`,
    replace: `epoch: row?.epoch ?? 0`,
    spec: MODEL_TEST,
    title: "holds its invariants",
  },
  {
    name: "let an owner act at once after a delayed write",
    promise: ONE_OWNER,
    file: `${OWNERSHIP}/decisions.ts`,
    find: `activeFromMs: foundMs + OWNERSHIP_LEASE_MS,`,
    replace: `activeFromMs: foundMs,`,
    spec: `${OWNERSHIP}/decisions_test.ts`,
    title: "keep the owner from acting for a lease",
  },
  {
    name: "continue the observation of a row over a gap in the reads",
    promise: ONE_OWNER,
    file: "packages/node/state/row_observation.ts",
    find: `nowMs - previous.lastReadMs <= MAXIMUM_OBSERVATION_GAP_MS`,
    replace: `nowMs >= previous.lastReadMs`,
    spec: `${OWNERSHIP}/decisions_test.ts`,
    title: "start the lease again",
  },
  {
    name: "conclude a cluster-wide outage although a member sent no heartbeat",
    promise: ONE_OWNER,
    file: "packages/node/state/cluster_wide_outage.ts",
    find:
      `member.lastHeartbeat !== undefined && !member.lastHeartbeat.tableReachable`,
    replace: `!(member.lastHeartbeat?.tableReachable ?? false)`,
    spec: MODEL_TEST,
    title: "holds its invariants",
  },
  {
    name:
      "conclude a cluster-wide outage although a member reaches the table service",
    promise: ONE_OWNER,
    file: "packages/node/state/cluster_wide_outage.ts",
    find:
      `member.lastHeartbeat !== undefined && !member.lastHeartbeat.tableReachable`,
    replace: `member.lastHeartbeat !== undefined`,
    spec: "packages/node/state/cluster_wide_outage_test.ts",
    title: "needs every member connected",
  },
  {
    name: "ignore that a member reports ownership of the failure domain",
    promise: ONE_OWNER,
    file: "packages/node/state/cluster_wide_outage.ts",
    find: `owned.failureDomain !== failureDomain || owned.epoch < epoch`,
    replace: `owned.failureDomain !== failureDomain || owned.epoch >= 0`,
    spec: MODEL_TEST,
    title: "holds its invariants",
  },
  {
    name: "never let a peer confirm that a joiner may take ownership",
    promise: ONE_OWNER,
    file: "packages/node/membership/membership_controller.ts",
    find: `return this.#hasContactedEveryMember = this.#isConfirmedByPeer() ||`,
    replace: `return this.#hasContactedEveryMember =`,
    spec: SCENARIOS_TEST,
    title: "is taken over by joiners",
  },
  {
    name: "apply an in that arrives after an out of the same version",
    promise: "no_start_in_domain_out",
    file: "packages/node/failure_domains/decisions.ts",
    find:
      `return incoming.state === FAILURE_DOMAIN_STATE.OUT ? incoming : current;`,
    replace: `return incoming;`,
    spec: "packages/node/failure_domains/decisions_test.ts",
    title: "merge to the same record in any order",
  },
  {
    name: "renew a lease without the condition on the failure domain's row",
    promise: "no_start_in_domain_out",
    file: `${OWNERSHIP}/owned_leases.ts`,
    find: `this.#options.failureDomains.createCondition(failureDomain),`,
    replace: ``,
    spec: OPERATORS_TEST,
    title: "reach an owner that is cut from its peers",
  },
];
