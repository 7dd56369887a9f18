/** Mutations of the estimates of workers' speeds, of their storage and of their use. */
import type { Mutation } from "./types.ts";

const POLICY = "packages/policy/cell/speeds";
const NODE = "packages/node/cell/speeds";
const ESTIMATES_TEST = `${POLICY}/speed_estimates_test.ts`;
const FIT_TEST = `${POLICY}/speed_fit_test.ts`;
const SAMPLER_TEST = `${NODE}/speed_sampler_test.ts`;
const ROW_TEST = `${NODE}/speeds_row_test.ts`;
const ESTIMATED = "speeds are estimated from comparable tasks only";
const ON_TIME = "units that need speed get it";
const STORED = "stored speeds are small, recent and of the present incarnation";

export const SPEED_MUTATIONS: readonly Mutation[] = [
  {
    name: "use the speeds of a cell in which few workers differ",
    promise: ON_TIME,
    file: `${NODE}/speed_tracker.ts`,
    find: `if (!this.#isUneven) return 1;`,
    replace: ``,
    spec: `${NODE}/speed_tracker_test.ts`,
    title: "do not decide where units run while few workers differ",
  },
  {
    name: "compare tasks with a step's level that ignores its workers' speeds",
    promise: ESTIMATED,
    file: `${POLICY}/speed_estimates.ts`,
    find: `value: logRate - this.#getLogSpeed(sample.worker),`,
    replace: `value: logRate,`,
    spec: ESTIMATES_TEST,
    title: "separates workers whose steps run on few of them",
  },
  {
    name: "keep the samples from before a worker became slow",
    promise: ESTIMATED,
    file: `${POLICY}/speed_estimates.ts`,
    find: `state.changedMs = nowMs - RECENT_MS;`,
    replace: ``,
    spec: ESTIMATES_TEST,
    title: "notices within two reports",
  },
  {
    name: "keep the samples of an earlier incarnation",
    promise: ESTIMATED,
    file: `${POLICY}/speed_estimates.ts`,
    find: `if (known !== undefined) this.#delete(worker);`,
    replace: ``,
    spec: ESTIMATES_TEST,
    title: "starts anew with another incarnation",
  },
  {
    name: "act on differences that noise explains",
    promise: ESTIMATED,
    file: `${POLICY}/speed_classes.ts`,
    find: `if (isUsual) return USUAL_CLASS;`,
    replace: ``,
    spec: ESTIMATES_TEST,
    title: "after few samples",
  },
  {
    name: "take samples from members of gangs",
    promise: ESTIMATED,
    file: `${NODE}/speed_sampler.ts`,
    find: `!step.isGang && `,
    replace: ``,
    spec: SAMPLER_TEST,
    title: "are not taken from members of gangs",
  },
  {
    name: "count the time of a restore as progress",
    promise: ESTIMATED,
    file: `${NODE}/speed_sampler.ts`,
    find: `if (point.percent > progress.firstPercent) progress.base = point;`,
    replace: `progress.base = point;`,
    spec: SAMPLER_TEST,
    title: "until a restored task makes progress",
  },
  {
    name: "take workers that are too slow as fast enough",
    promise: ON_TIME,
    file: `${POLICY}/speed_fit.ts`,
    find: `view.speed >= minimumSpeed`,
    replace: `view.speed >= 0`,
    spec: FIT_TEST,
    title: "run a gang that needs speed on those that are fast enough",
  },
  {
    name: "mix fast and slow workers in a gang although some speed has room",
    promise: ON_TIME,
    file: `${POLICY}/speed_fit.ts`,
    find: `? [...bySpeed, enough] : bySpeed`,
    replace: `? [enough] : bySpeed`,
    spec: FIT_TEST,
    title: "on workers of one speed rather than on a mixture",
  },
  {
    name: "run urgent gangs on workers that are not measured",
    promise: ON_TIME,
    file: `${POLICY}/speed_fit.ts`,
    find: `view.isSpeedMeasured !== false`,
    replace: `view.isSpeedMeasured !== undefined`,
    spec: FIT_TEST,
    title: "on measured ones first",
  },
  {
    name: "run a gang across racks for the sake of speed",
    promise: ON_TIME,
    file: "packages/policy/cell/fit.ts",
    find: `findFitAmong(group, request, { allowRemote });`,
    replace: `findFitAmong(group, request, options);`,
    spec: FIT_TEST,
    title: "in one rack of slow workers rather than across racks",
  },
  {
    name: "stop runs on slow workers as stalled",
    promise: "slow workers are used",
    file: "packages/node/cell/run_checks.ts",
    find: `(slowest < LOWEST_PLAUSIBLE_SPEED ? 1 : slowest)`,
    replace: `1`,
    spec: "packages/node/cell/run_checks_test.ts",
    title: "counts as stalled later on a slow worker",
  },
  {
    name: "use the stored speed of another incarnation",
    promise: STORED,
    file: `${NODE}/speed_tracker.ts`,
    find:
      `if (createIncarnationTag(incarnationStartUnixMs) !== incarnationTag) return;`,
    replace: ``,
    spec: ROW_TEST,
    title: "of another incarnation do not decide",
  },
  {
    name: "use stored speeds of any age",
    promise: STORED,
    file: `${NODE}/speeds_row.ts`,
    find: `return isTooOld ? { ...row, workers: [] } : row;`,
    replace: `return row;`,
    spec: ROW_TEST,
    title: "older than a minute do not decide",
  },
  {
    name: "store the speeds of any number of workers",
    promise: STORED,
    file: `${NODE}/speeds_row.ts`,
    find: `if (lengthBytes > MAXIMUM_LENGTH_BYTES) break;`,
    replace: ``,
    spec: ROW_TEST,
    title: "fit into a row of 64 KiB",
  },
  {
    name: "store the speeds as often as they change",
    promise: STORED,
    file: `${NODE}/speeds_writer.ts`,
    find: `if (nowMs - this.#triedMs < MINIMUM_PERIOD_MS) return;`,
    replace: ``,
    spec: ROW_TEST,
    title: "are written at most once in 5 s",
  },
  {
    name: "do not store the speeds again after a refused write",
    promise: STORED,
    file: `${NODE}/speeds_writer.ts`,
    find:
      `if (!await putRow(this.#options, SPEEDS_KEY, encodeRow(row))) return;`,
    replace: `await putRow(this.#options, SPEEDS_KEY, encodeRow(row));`,
    spec: ROW_TEST,
    title: "are written later if the store refuses them",
  },
];
