/**
 * Rounds of one rack of workers, planned and executed: runs end, are stopped, or stay unreported for
 * a while after the lease holder has changed.
 */
import type { OrganisationName } from "@coltsfootpond/common";
import type { RunningUnit } from "../eviction.ts";
import { coversNeed, getCountedNeed, subtractCellResources } from "../fit.ts";
import { planRound, type WaitingUnit } from "../plan_round.ts";
import type { CellResources, WorkerView } from "../types.ts";
import {
  computeRequirement,
  isWithinQuota,
  NO_USAGE,
  type OrganisationShares,
} from "./organisation_usage.ts";
import { createShares, createWorkers } from "./quota_fixtures.ts";

export const ROUND_MS = 500;

/** A unit, the round in which it is submitted, and how many rounds it runs. */
export interface CourseUnit {
  readonly request: WaitingUnit<string>;
  readonly fromRound: number;
  readonly rounds: number;
}

interface Run {
  readonly unit: CourseUnit;
  readonly running: RunningUnit<string>;
  /** The round in which it has ended, or is gone after it was stopped. */
  endRound: number;
  isClosing: boolean;
  /** The round in which a report names it. */
  reportRound: number;
}

export type Limits = ReadonlyMap<
  OrganisationName,
  { weight?: number; accelerators?: number }
>;

export class ShareCourse {
  readonly #names: readonly string[];
  readonly #waiting: { unit: CourseUnit; sinceRound: number }[] = [];
  #runs: Run[] = [];
  #round = 0;
  evictions = 0;

  private constructor(workers: number) {
    this.#names = Array.from({ length: workers }, (_, index) => `w${index}`);
  }

  static create(workers: number): ShareCourse {
    return new ShareCourse(workers);
  }

  get round(): number {
    return this.#round;
  }

  get waiting(): readonly CourseUnit[] {
    return this.#waiting.map(({ unit }) => unit);
  }

  /** Whether a run is being stopped. */
  get isStopping(): boolean {
    return this.#runs.some(({ isClosing }) => isClosing);
  }

  submit(unit: CourseUnit): void {
    this.#waiting.push({ unit, sinceRound: this.#round });
  }

  /** A new lease holder that some runs, which still count, are not reported to for a while. */
  changeHolder(isReported: (index: number) => boolean, rounds: number): void {
    this.#runs.forEach((run, index) => {
      if (!isReported(index)) run.reportRound = this.#round + rounds;
    });
  }

  /** Plans and executes one round; returns the starts, and what was in use before them. */
  step(limits: Limits) {
    this.#round++;
    this.#runs = this.#runs.filter(({ endRound }) => endRound > this.#round);
    const shares = this.#countShares(limits);
    const views = this.#createViews();
    const plan = planRound({
      workers: views,
      running: this.#runs.filter((run) => this.#isReported(run)).map(
        ({ running, isClosing }) => ({
          ...running,
          isEvictable: running.isEvictable && !isClosing,
          isClosing,
        }),
      ),
      waiting: this.#waiting.map(({ unit, sinceRound }) => ({
        ...unit.request,
        waitedMs: (this.#round - sinceRound) * ROUND_MS,
      })),
      shares,
    });
    for (const { unit } of plan.evictions) this.#evict(unit);
    for (const { unit, workers } of plan.placements) this.#start(unit, workers);
    return { plan, shares };
  }

  /** Accelerators that run, are being stopped, or are unreported. */
  countUsed(organisation: OrganisationName): number {
    return this.#sumUsage(organisation).accelerators;
  }

  /** Waiting units of single tasks that fit now and are within their quotas. */
  listStartable(limits: Limits): readonly string[] {
    const shares = this.#countShares(limits);
    return this.#waiting.flatMap(({ unit: { request } }) => {
      const { organisation, step, count, unit } = request;
      const quota = organisation && shares.limits.get(organisation)?.quota;
      const used = organisation && shares.usage.get(organisation) || NO_USAGE;
      const need = computeRequirement(request);
      const isCovered = isWithinQuota({
        cpuMilli: used.cpuMilli + need.cpuMilli,
        memoryMib: used.memoryMib + need.memoryMib,
        accelerators: used.accelerators + need.accelerators,
      }, quota);
      const fits = count === 1 &&
        this.#createViews().some(({ free }) =>
          coversNeed(free, getCountedNeed(step))
        );
      return isCovered && fits ? [unit] : [];
    });
  }

  #countShares(limits: Limits): OrganisationShares {
    return createShares(limits, this.#runs.map(({ running }) => running));
  }

  #sumUsage(organisation: OrganisationName): CellResources {
    return this.#countShares(new Map()).usage.get(organisation) ?? NO_USAGE;
  }

  #createViews(): readonly WorkerView[] {
    return createWorkers(this.#names, this.#runs.map(({ running }) => running))
      .map((view) => ({
        ...view,
        releasing: this.#runs.filter(({ isClosing }) => isClosing).flatMap(
          ({ running }) =>
            running.workers.filter((worker) => worker === view.worker)
              .map(() => running.step.need),
        ).reduce((sum, need) =>
          subtractCellResources(sum, {
            cpuMilli: -need.cpuMilli,
            memoryMib: -need.memoryMib,
            accelerators: -need.accelerators,
          }), NO_USAGE),
      }));
  }

  #isReported({ reportRound }: Run): boolean {
    return reportRound <= this.#round;
  }

  #start(name: string, workers: RunningUnit<string>["workers"]): void {
    const index = this.#waiting.findIndex(({ unit }) =>
      unit.request.unit === name
    );
    const { unit } = this.#waiting.splice(index, 1)[0]!;
    const { organisation, step, stepKey, displacementCost } = unit.request;
    this.#runs.push({
      unit,
      running: {
        unit: name,
        organisation,
        step,
        stepKey,
        workers,
        isEvictable: displacementCost !== undefined,
        evictionCost: displacementCost ?? 0,
      },
      endRound: this.#round + unit.rounds,
      isClosing: false,
      reportRound: 0,
    });
  }

  #evict(name: string): void {
    const run = this.#runs.find(({ running }) => running.unit === name)!;
    this.evictions++;
    run.isClosing = true;
    run.endRound = this.#round + 1;
    this.#waiting.push({ unit: run.unit, sinceRound: this.#round + 1 });
  }
}
