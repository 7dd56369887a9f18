/** Mutations of the rules by which submitted jobs are refused for lack of capacity. */
import type { Mutation } from "./types.ts";

const POLICY = "packages/policy/cell/admission";
const NODE = "packages/node/cell/admission";
const REPOSITORY = "packages/node/cell/callers/job_repository.ts";
const ADMISSION_TEST = `${POLICY}/admission_test.ts`;
const PUBLISHED_TEST = `${NODE}/published_load_test.ts`;
const REFUSALS_TEST = "packages/node/cell/callers/refusals_test.ts";
const FEW_REFUSALS = "admission refuses only what must be refused";
const TRUE_REFUSALS = "admission refuses truthfully";
const FRESH_LOAD = "admission decides by a recent load";
const NO_VALUE_LAST = "admission: work without value runs last";

export const ADMISSION_MUTATIONS: readonly Mutation[] = [
  {
    name: "refuse although there is free capacity",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission.ts`,
    find: `if (waves === 1) return admit("free capacity");`,
    replace: ``,
    furtherEdits: [{
      file: `${POLICY}/admission.ts`,
      find:
        `if (waves * pathMs <= objectiveMs) return admit("free capacity in waves");`,
      replace: ``,
    }],
    spec: ADMISSION_TEST,
    title: "never refuses a job for which there is free capacity",
  },
  {
    name: "refuse urgent jobs that a guarantee covers",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission.ts`,
    find: `if (isUrgent && isGuaranteed) return admit("guarantee");`,
    replace: ``,
    spec: ADMISSION_TEST,
    title: "that a guarantee covers, or while evictable work runs",
  },
  {
    name: "refuse urgent jobs while evictable work runs",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission.ts`,
    find: `if (isUrgent && load.hasEvictableRuns)`,
    replace: `if (isUrgent && !load.hasEvictableRuns)`,
    spec: ADMISSION_TEST,
    title: "that a guarantee covers, or while evictable work runs",
  },
  {
    name: "count work that comes after the job",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission.ts`,
    find: `(sum, [other, work]) => other > level ? sum + work : sum,`,
    replace: `(sum, [other, work]) => other > -Infinity ? sum + work : sum,`,
    spec: ADMISSION_TEST,
    title: "counts only work that comes before the job",
  },
  {
    name: "place low work ahead in the forecast",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission.ts`,
    find: `(sum, [other, work]) => other > level ? sum + work : sum,`,
    replace: `(sum, [other, work]) => other < level ? sum + work : sum,`,
    spec: ADMISSION_TEST,
    title: "is monotone in priority and in value",
  },
  {
    name: "take the whole forecast wait as certain",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission.ts`,
    find: `const EVIDENCE_SHARE = 0.7;`,
    replace: `const EVIDENCE_SHARE = 1;`,
    spec: ADMISSION_TEST,
    title: "admits a job that may just end",
  },
  {
    name: "admit no smallest share",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission_floor.ts`,
    find: `const isAdmitted = count % FLOOR_PERIOD === FLOOR_PERIOD - 1;`,
    replace: `const isAdmitted = false;`,
    spec: ADMISSION_TEST,
    title: "is kept for every key",
  },
  {
    name: "start the counters of all entries alike",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission_floor.ts`,
    find: `Math.floor(this.#computePhase(key) * FLOOR_PERIOD);`,
    replace: `0;`,
    spec: ADMISSION_TEST,
    title: "is kept over entries that see one submission each",
  },
  {
    name: "let all refused callers return at once",
    promise: FEW_REFUSALS,
    file: `${POLICY}/admission.ts`,
    find: `Math.ceil(earliestS + spread * spreadS),`,
    replace: `Math.ceil(earliestS + 0 * spread * spreadS),`,
    spec: ADMISSION_TEST,
    title: "spreads callers over",
  },
  {
    name: "refuse without a row that bars earlier tries",
    promise: TRUE_REFUSALS,
    file: REPOSITORY,
    find: `puts: [{ key: markerKey, value }],`,
    replace: `puts: [],`,
    spec: REFUSALS_TEST,
    title: "bars the write of an earlier try",
  },
  {
    name: "store a submission whatever refusals were made meanwhile",
    promise: TRUE_REFUSALS,
    file: REPOSITORY,
    find: `const newestAtStart = this.#options.follower.newestSeenVersion;`,
    replace: `const newestAtStart = Infinity;`,
    spec: REFUSALS_TEST,
    title: "bars a try whose entry did not know of it",
  },
  {
    name: "refuse a job that another entry has stored",
    promise: TRUE_REFUSALS,
    file: REPOSITORY,
    find: `          marker = findVersion(outcome.rows, markerKey);
          continue;`,
    replace: `          return { kind: "refused" };`,
    spec: REFUSALS_TEST,
    title: "is not made when another entry has stored the job",
  },
  {
    name: "refuse although the answer of the refusal's write is lost",
    promise: TRUE_REFUSALS,
    file: `${NODE}/admission_gate.ts`,
    find: `    case "accepted":
    case "unknown":
      return { kind };`,
    replace: `    case "accepted":
      return { kind };
    case "unknown":
      return { kind: "refused_now", reason, retryAfterS };`,
    spec: `${NODE}/admission_gate_test.ts`,
    title: "answers 504 if the refusal's row may not be stored",
  },
  {
    name: "decide by a load of any age",
    promise: FRESH_LOAD,
    file: `${NODE}/published_load.ts`,
    find: `if (ageMs > MAXIMUM_LOAD_AGE_MS) return undefined;`,
    replace: ``,
    spec: PUBLISHED_TEST,
    title: "once it is older than 3 s",
  },
  {
    name: "take a load that is received late as new",
    promise: FRESH_LOAD,
    file: `${NODE}/published_load.ts`,
    find: `(lease.beat - row.beat) * RENEW_PERIOD_MS,`,
    replace: `0,`,
    spec: PUBLISHED_TEST,
    title: "if the lease was renewed for 3 s",
  },
  {
    name: "decide by the load of an earlier lease holder",
    promise: FRESH_LOAD,
    file: `${NODE}/published_load.ts`,
    find:
      `if (lease.isReleased || lease.epoch !== row.epoch) return undefined;`,
    replace: ``,
    spec: PUBLISHED_TEST,
    title: "after a change of the holder",
  },
  {
    name: "decide while the store is away",
    promise: FRESH_LOAD,
    file: `${NODE}/published_load.ts`,
    find: `if (this.#options.getStoreDownMs() > 0) return undefined;`,
    replace: ``,
    spec: PUBLISHED_TEST,
    title: "or while the store is away",
  },
  {
    name: "write the load although nothing has changed",
    promise: FRESH_LOAD,
    file: `${NODE}/load_publisher.ts`,
    find: `if (this.#isWriting || text === this.#written && !isDue) return;`,
    replace: `if (this.#isWriting) return;`,
    spec: `${NODE}/load_publisher_test.ts`,
    title: "is not written by an idle cell",
  },
  {
    name: "learn nothing from ended tasks",
    promise: FRESH_LOAD,
    file: "packages/node/cell/job_registry.ts",
    find: `if (unit?.run?.run === ended.run) this.#options.onTaskDone(unit);`,
    replace: ``,
    spec: `${NODE}/load_publisher_test.ts`,
    title: "has the learned ratio",
  },
  {
    name: "evict for work that has lost all value",
    promise: NO_VALUE_LAST,
    file: "packages/policy/cell/plan_round.ts",
    find: `if (request.rank.tier === RANK_TIER.WORTHLESS) return undefined;`,
    replace: ``,
    spec: `${POLICY}/worthless_work_test.ts`,
    title: "evicts nothing, whatever gain",
  },
  {
    name: "give the headroom to urgent work that has lost all value",
    promise: NO_VALUE_LAST,
    file: "packages/node/cell/plan_input.ts",
    find:
      `return priority === URGENT_PRIORITY && hasValue || step.isPersistent ||`,
    replace: `return priority === URGENT_PRIORITY || step.isPersistent ||`,
    spec: `${NODE}/worthless_jobs_test.ts`,
    title: "may neither evict nor use the headroom",
  },
];
