/** Mutations of the rules by which the quotas of organisations are kept. */
import type { Mutation } from "./types.ts";

const NODE = "packages/node/cell";
const NODE_QUOTAS = `${NODE}/quotas`;
const POLICY_QUOTAS = "packages/policy/cell/quotas";
const PLAN_ROUND = "packages/policy/cell/plan_round.ts";
const USAGE_TEST = `${NODE_QUOTAS}/count_usage_test.ts`;
const CELL_TEST = `${NODE_QUOTAS}/quota_simulation_test.ts`;
const ROUND_TEST = `${POLICY_QUOTAS}/quota_test.ts`;
const PROMISE = "no start over the quota";

/** Leaves out the task runs of a worker for which the condition does not hold. */
function countOnly(
  condition: string,
): Pick<Mutation, "file" | "find" | "replace" | "promise"> {
  return {
    promise: PROMISE,
    file: `${NODE_QUOTAS}/organisation_quotas.ts`,
    find: `        taskRuns,\n`,
    replace: `        taskRuns: taskRuns.filter((taskRun) => ${condition}),\n`,
  };
}

const SHARES = `${POLICY_QUOTAS}/weighted_shares.ts`;
const SHARE_QUEUE = `${POLICY_QUOTAS}/share_queue.ts`;
const SHARE_EVICTIONS = `${POLICY_QUOTAS}/share_evictions.ts`;
const SHARE_TEST = `${POLICY_QUOTAS}/share_test.ts`;
const PROPERTIES_TEST = `${POLICY_QUOTAS}/quota_properties_test.ts`;
const REFUSAL_TEST = `${NODE_QUOTAS}/quota_refusal_test.ts`;
const REFUSAL_PROMISE = "refusals by quotas are true";
const FAULTS_TEST = `${NODE}/cell_faults_test.ts`;
const FAULTS_PROMISE = "quotas hold under faults";
const SHARES_PROMISE = "shares follow the weights";

export const QUOTA_MUTATIONS: readonly Mutation[] = [
  {
    name: "evict nothing for a guaranteed job at the quota",
    promise: "guaranteed jobs start in time",
    file: PLAN_ROUND,
    find:
      `if (reclaim !== undefined) this.#evict(request, victims, NO_WORKERS);`,
    replace: ``,
    spec: `${POLICY_QUOTAS}/quota_reclaim_test.ts`,
    title: "is evicted for a job that the organisation's guarantee covers",
  },
  {
    name: "let ordinary work fill the whole quota",
    promise: "guaranteed jobs start in time",
    file: `${POLICY_QUOTAS}/quota_ledger.ts`,
    find:
      `(request.mayUseHeadroom || this.#leavesReserve(request, total, quota));`,
    replace: `true;`,
    spec: `${POLICY_QUOTAS}/urgent_reserve_test.ts`,
    title: "is left free by other work",
  },
  {
    name: "hold back a unit that could never start beside the reserve",
    promise: "guaranteed jobs start in time",
    file: `${POLICY_QUOTAS}/quota_ledger.ts`,
    find: `return isWithin(total) || !isWithin(computeRequirement(request));`,
    replace: `return isWithin(total);`,
    spec: `${POLICY_QUOTAS}/urgent_reserve_test.ts`,
    title: "may be used by a unit that could never start beside it",
  },
  {
    ...countOnly("taskRun.startSentMs !== undefined"),
    name: "do not count runs that are reserved and not sent",
    spec: CELL_TEST,
    title: "counts placements that are not stored yet",
  },
  {
    ...countOnly("taskRun.startAnsweredMs !== undefined"),
    name: "do not count starts that are not answered",
    spec: CELL_TEST,
    title: "counts starts that were not answered",
  },
  {
    ...countOnly("!taskRun.isListed"),
    name: "do not count runs that a report has listed",
    spec: CELL_TEST,
    title: "lets a wide step of single tasks run in waves",
  },
  {
    ...countOnly("!taskRun.isStopping"),
    name: "do not count runs that are being stopped",
    spec: CELL_TEST,
    title: "counts runs of a cancelled job until they are gone",
  },
  {
    ...countOnly("taskRun.lostContact === undefined"),
    name: "do not count runs of a worker that does not answer",
    spec: CELL_TEST,
    title: "counts the runs of a worker that does not answer",
  },
  {
    name: "do not count earlier placements on unreported workers",
    promise: PROMISE,
    file: `${NODE_QUOTAS}/organisation_quotas.ts`,
    find:
      `unreported: this.#earlierPlacements.list(this.#options.isUnreported),`,
    replace: `unreported: [],`,
    spec: CELL_TEST,
    title: "counts the placements of an earlier holder on unreported workers",
  },
  {
    name: "forget an earlier placement when its job ends",
    promise: PROMISE,
    file: `${NODE_QUOTAS}/earlier_placements.ts`,
    find: `    for (const job of jobs) {`,
    replace:
      `    this.#recordedJobs.clear();\n    this.#placements = [];\n    for (const job of jobs) {`,
    spec: CELL_TEST,
    title: "although their job is cancelled",
  },
  {
    name: "count only the reported tasks of an earlier gang",
    promise: PROMISE,
    file: `${NODE_QUOTAS}/earlier_placements.ts`,
    find: `tasks: Math.max(unreported, tasks - reported)`,
    replace: `tasks: unreported`,
    spec: USAGE_TEST,
    title: "includes earlier placements on unreported workers",
  },
  {
    name: "do not count stray runs of ended jobs",
    promise: PROMISE,
    file: `${NODE_QUOTAS}/count_usage.ts`,
    find: `ownersOfRest.add(account.organisation);`,
    replace: ``,
    spec: CELL_TEST,
    title: "counts stray runs of a cancelled job until they are gone",
  },
  {
    name: "do not count stray runs of unknown jobs",
    promise: PROMISE,
    file: `${NODE_QUOTAS}/count_usage.ts`,
    find:
      `organisations.forEach((organisation) => ownersOfRest.add(organisation));`,
    replace: ``,
    spec: USAGE_TEST,
    title: "includes a stray run of an unknown job for every organisation",
  },
  {
    name: "start before the declared state is known",
    promise: PROMISE,
    file: `${NODE}/cell_scheduler.ts`,
    find: `if (!canAct() || state === undefined) return;`,
    replace: `if (!canAct()) return;`,
    furtherEdits: [{
      file: `${NODE}/cell_scheduler.ts`,
      find: `guarantees: state.guarantees,`,
      replace: `guarantees: state?.guarantees ?? [],`,
    }, {
      file: `${NODE}/cell_scheduler.ts`,
      find: `      state.version,\n`,
      replace: `      state?.version ?? 0,\n`,
    }],
    spec: CELL_TEST,
    title: "that is not known yet lets nothing start",
  },
  {
    name: "send starts without a second check of the quota",
    promise: PROMISE,
    file: `${NODE}/run_registry.ts`,
    find: `if (excess !== undefined) {`,
    replace: `if (excess !== undefined && run.run < 0) {`,
    spec: CELL_TEST,
    title: "that falls while a placement is being stored prevents its start",
  },
  {
    name: "count one task of a gang",
    promise: PROMISE,
    file: `${POLICY_QUOTAS}/organisation_usage.ts`,
    find: `return multiplyResources(step.need, count);`,
    replace: `return multiplyResources(step.need, Math.sign(count));`,
    spec: ROUND_TEST,
    title: "counts a gang whole",
  },
  {
    name: "do not count the processor time of filler steps",
    promise: PROMISE,
    file: `${POLICY_QUOTAS}/organisation_usage.ts`,
    find: `return multiplyResources(step.need, count);`,
    replace:
      `return multiplyResources({ ...step.need, cpuMilli: step.isFiller ? 0 : step.need.cpuMilli }, count);`,
    spec: ROUND_TEST,
    title: "counts the processor time of filler steps",
  },
  {
    name: "do not count the placements of a round",
    promise: PROMISE,
    file: PLAN_ROUND,
    find:
      `    this.#quotas.reserve(request);\n    this.#shares?.add(request, 1);\n    const { unit, organisation`,
    replace: `    const { unit, organisation`,
    spec: ROUND_TEST,
    title: "counts each placement of the round",
  },
  {
    name: "keep counting a displaced placement",
    promise: PROMISE,
    file: PLAN_ROUND,
    find: `      this.#quotas.release(request);\n`,
    replace: ``,
    spec: ROUND_TEST,
    title: "takes back what a displaced placement has reserved",
  },
  {
    name: "evict for more units than the quota lets start",
    promise: PROMISE,
    file: PLAN_ROUND,
    find:
      `    this.#quotas.reserve(request);\n    this.#shares?.add(request, 1);\n    for (const victim of victims) {`,
    replace: `    for (const victim of victims) {`,
    spec: ROUND_TEST,
    title: "counts units for which others are evicted",
  },
  {
    name: "count an evicted run as gone",
    promise: PROMISE,
    file: PLAN_ROUND,
    find: `      this.#evicted.add(victim);\n`,
    replace:
      `      this.#evicted.add(victim);\n      this.#quotas.release({ ...victim, count: victim.workers.length });\n`,
    spec: ROUND_TEST,
    title: "counts an evicted run until it is gone",
  },
  {
    name: "hold no unit back",
    promise: PROMISE,
    file: PLAN_ROUND,
    find: `if (wait !== undefined) {`,
    replace: `if (wait !== undefined && request.count < 0) {`,
    spec: ROUND_TEST,
    title: "without effect on other units",
  },
  {
    name: "hold back only what would lift the usage above the quota",
    promise: PROMISE,
    file: `${POLICY_QUOTAS}/quota_ledger.ts`,
    find: `if (isWithinQuota(total, quota)) return undefined;`,
    replace:
      `if (isWithinQuota(total, quota) || !isWithinQuota(usage, quota)) return undefined;`,
    spec: ROUND_TEST,
    title: "lets nothing start above a quota",
  },
  {
    name: "let units start again once the quota has fallen below the usage",
    promise: PROMISE,
    file: `${POLICY_QUOTAS}/quota_ledger.ts`,
    find: `if (isWithinQuota(total, quota)) return undefined;`,
    replace:
      `if (isWithinQuota(total, quota) || !isWithinQuota(usage, quota)) return undefined;`,
    furtherEdits: [{
      file: `${NODE}/run_registry.ts`,
      find: `if (excess !== undefined) {`,
      replace: `if (excess !== undefined && run.run < 0) {`,
    }],
    spec: CELL_TEST,
    title: "that falls stops no run",
  },
  {
    name: "take stray runs of ended jobs for those of a public queue",
    promise: PROMISE,
    file: `${NODE_QUOTAS}/run_account.ts`,
    find: `return { kind: "unsized", organisation: row.organisation };`,
    replace: `return { kind: "unsized", organisation: undefined };`,
    spec: USAGE_TEST,
    title: "takes the organisation of an ended job from its row",
  },
  {
    name: "place in order of rank whatever the shares",
    promise: SHARES_PROMISE,
    file: SHARE_QUEUE,
    find: `this.#shares?.isContended(service) === true;`,
    replace: `this.#shares?.isContended(service) === undefined;`,
    spec: SHARE_TEST,
    title: "divide a full cell by the weights",
  },
  {
    name: "place in order of rank whatever the shares, in a flood",
    promise: SHARES_PROMISE,
    file: SHARE_QUEUE,
    find: `this.#shares?.isContended(service) === true;`,
    replace: `this.#shares?.isContended(service) === undefined;`,
    spec: PROPERTIES_TEST,
    title: "within one gang of their shares",
  },
  {
    name: "divide by weights without regard to the demand",
    promise: SHARES_PROMISE,
    file: `${POLICY_QUOTAS}/fair_level.ts`,
    find: `if (dominantShare / weight > level) return level;`,
    replace: `if (dominantShare >= 0) return level;`,
    spec: SHARE_TEST,
    title: "divides the whole capacity, and is infinite",
  },
  {
    name: "leave idle what an organisation below its share cannot use",
    promise: SHARES_PROMISE,
    file: SHARE_QUEUE,
    find: `if (queue.position >= queue.units.length) continue;`,
    replace:
      `if (queue.position >= queue.units.length || queue.phase === PHASE.ABOVE_SHARE) continue;`,
    spec: SHARE_TEST,
    title: "what the others cannot use|does not ask for",
  },
  {
    name: "subject guarantees to the shares",
    promise: SHARES_PROMISE,
    file: SHARE_QUEUE,
    find: `const isShared = rank.tier !== RANK_TIER.GUARANTEED &&`,
    replace: `const isShared =`,
    furtherEdits: [{
      file: SHARE_QUEUE,
      find: `const tier = units[0]?.[0].rank.tier;`,
      replace:
        `const tier: number | undefined = undefined as number | undefined;`,
    }, {
      file: SHARE_QUEUE,
      find: `units.findIndex(([{ rank }]) => rank.tier !== tier)`,
      replace: `units.findIndex(() => tier !== undefined)`,
    }, {
      file: SHARE_QUEUE,
      find: `const isShared = request.rank.tier !== RANK_TIER.GUARANTEED &&\n`,
      replace: `const isShared =\n`,
    }],
    spec: SHARE_TEST,
    title: "come after guarantees",
  },
  {
    name: "let worthless work of an organisation below its share go first",
    promise: SHARES_PROMISE,
    file: SHARE_QUEUE,
    find: `const tier = units[0]?.[0].rank.tier;`,
    replace:
      `const tier: number | undefined = undefined as number | undefined;`,
    furtherEdits: [{
      file: SHARE_QUEUE,
      find: `units.findIndex(([{ rank }]) => rank.tier !== tier)`,
      replace: `units.findIndex(() => tier !== undefined)`,
    }, {
      file: SHARES,
      find: `rank.tier === RANK_TIER.WORTHLESS) continue;`,
      replace: `rank.tier < 0) continue;`,
    }],
    spec: SHARE_TEST,
    title: "let no work without value go before",
  },
  {
    name: "evict work of an organisation below its share for one above",
    promise: SHARES_PROMISE,
    file: SHARES,
    find: `return this.isBelow(request) || !this.isBelow(tasks);`,
    replace: `return true;`,
    spec: SHARE_TEST,
    title: "protect an organisation below its share",
  },
  {
    name: "choose victims by cost alone",
    promise: SHARES_PROMISE,
    file: SHARE_EVICTIONS,
    find: `const ALIKE_FACTOR = 1.2;`,
    replace: `const ALIKE_FACTOR = 1;`,
    spec: SHARE_TEST,
    title: "prefer victims of organisations above",
  },
  {
    name: "choose victims by share alone",
    promise: SHARES_PROMISE,
    file: SHARE_EVICTIONS,
    find: `const ALIKE_FACTOR = 1.2;`,
    replace: `const ALIKE_FACTOR = 1_000;`,
    spec: SHARE_TEST,
    title: "prefer victims of organisations above",
  },
  {
    name: "reclaim nothing",
    promise: SHARES_PROMISE,
    file: SHARES,
    find: `(request.waitedMs ?? 0) >= RECLAIM_WAIT_MS`,
    replace: `(request.waitedMs ?? 0) < 0`,
    spec: PROPERTIES_TEST,
    title: "start a wide gang of an organisation without runs",
  },
  {
    name: "give what is reclaimed for a wide gang to others",
    promise: SHARES_PROMISE,
    file: SHARES,
    find: `if (this.hasNothing(unit)) return true;`,
    replace: ``,
    spec: PROPERTIES_TEST,
    title: "start a wide gang of an organisation without runs",
  },
  {
    name: "reclaim at once",
    promise: SHARES_PROMISE,
    file: SHARES,
    find: `(request.waitedMs ?? 0) >= RECLAIM_WAIT_MS`,
    replace: `(request.waitedMs ?? 0) >= 0`,
    spec: SHARE_TEST,
    title: "reclaim capacity for a unit that has waited",
  },
  {
    name: "reclaim from organisations that have only their share",
    promise: SHARES_PROMISE,
    file: SHARE_EVICTIONS,
    find: `: candidates.filter((candidate) => shares.isAbove(candidate));`,
    replace: `: candidates;`,
    furtherEdits: [{
      file: SHARE_EVICTIONS,
      find: `shares.allowsReclaim(request, plan.victims)`,
      replace: `request.unit !== undefined`,
    }],
    spec: SHARE_TEST,
    title: "reclaim nothing from an organisation that has only its share",
  },
  {
    name: "accept a job that can never run",
    promise: REFUSAL_PROMISE,
    file: `${NODE_QUOTAS}/quota_history.ts`,
    find: `if (isWithinQuota(requirement, quota)) continue;`,
    replace: `if (count > 0) continue;`,
    spec: REFUSAL_TEST,
    title: "is refused with the reason",
  },
  {
    name: "refuse a job that has been accepted",
    promise: REFUSAL_PROMISE,
    file: `${NODE}/callers/caller_filters.ts`,
    find: `const tooWide = jobRepository.isKnown(spec.jobId)`,
    replace: `const tooWide = spec.jobId === ""`,
    spec: REFUSAL_TEST,
    title: "is the same job if it has been accepted before",
  },
  {
    name: "refuse a job although an earlier submission may take effect",
    promise: REFUSAL_PROMISE,
    file: `${NODE_QUOTAS}/quota_history.ts`,
    find: `const MEMORY_MS = 10_000;`,
    replace: `const MEMORY_MS = 0;`,
    spec: REFUSAL_TEST,
    title: "is accepted shortly after the quota has fallen",
  },
  {
    name: "refuse a wide step of single tasks",
    promise: REFUSAL_PROMISE,
    file: `${NODE_QUOTAS}/quota_history.ts`,
    find: `const count = step.isGang ? step.count : 1;`,
    replace: `const count = step.count;`,
    spec: REFUSAL_TEST,
    title: "is not refused if the tasks start one by one",
  },
  {
    name: "log a wait in every round",
    promise: REFUSAL_PROMISE,
    file: `${NODE_QUOTAS}/quota_wait_log.ts`,
    find: `if (this.#logged.get(unit) === text) continue;`,
    replace: ``,
    spec: CELL_TEST,
    title: "is logged once for a unit that it holds back",
  },
  {
    name: "count waiting jobs as running in the gauges",
    promise: REFUSAL_PROMISE,
    file: `${NODE_QUOTAS}/organisation_gauges.ts`,
    find: `if (hasBegun) continue;`,
    replace: ``,
    spec: CELL_TEST,
    title: "is shown with what runs and what waits",
  },
  {
    ...countOnly("!taskRun.isStopping"),
    name: "do not count runs that are being stopped, under faults",
    promise: FAULTS_PROMISE,
    spec: FAULTS_TEST,
    title: "keeps its invariants under",
  },
  {
    ...countOnly("taskRun.lostContact === undefined"),
    name: "do not count runs of a worker that does not answer, under faults",
    promise: FAULTS_PROMISE,
    spec: FAULTS_TEST,
    title: "keeps its invariants under",
  },
  {
    name: "do not count earlier placements, under faults",
    promise: FAULTS_PROMISE,
    file: `${NODE_QUOTAS}/organisation_quotas.ts`,
    find:
      `unreported: this.#earlierPlacements.list(this.#options.isUnreported),`,
    replace: `unreported: [],`,
    spec: FAULTS_TEST,
    title: "keeps its invariants under",
  },
];
