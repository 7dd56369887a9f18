/**
 * Plans rounds so that a job on which planning throws keeps no other job from being planned. Such a
 * job is found by planning parts of the jobs and is left out for a while.
 */
import type { Clock } from "@coltsfootpond/common";

/** How long a job is left out; a later plan may work, as planning depends on the time. */
const EXCLUSION_MS = 5_000;

export interface IsolatedPlannerOptions<Job> {
  readonly clock: Pick<Clock, "nowMs">;
  /** Planning has failed with `error` because of these jobs. */
  readonly onExcluded: (jobs: readonly Job[], error: unknown) => void;
}

/** Plans a round of the jobs; has no effects. */
export type PlanJobs<Job, Plan> = (jobs: readonly Job[]) => Plan;

export class IsolatedPlanner<Job> {
  readonly #options: IsolatedPlannerOptions<Job>;
  /** Jobs that are left out, and until when. */
  readonly #excludedUntilMs = new Map<Job, number>();

  private constructor(options: IsolatedPlannerOptions<Job>) {
    this.#options = options;
  }

  static create<Job>(
    options: IsolatedPlannerOptions<Job>,
  ): IsolatedPlanner<Job> {
    return new IsolatedPlanner(options);
  }

  /** Throws when planning fails for a reason that is not in single jobs. */
  plan<Plan>(jobs: readonly Job[], plan: PlanJobs<Job, Plan>): Plan {
    const included = this.#listIncluded(jobs);
    try {
      return plan(included);
    } catch (error) {
      const failing = findFailing(included, plan);
      if (failing.length === 0) throw error;
      this.#options.onExcluded(failing, error);
      const untilMs = this.#options.clock.nowMs() + EXCLUSION_MS;
      failing.forEach((job) => this.#excludedUntilMs.set(job, untilMs));
      return plan(this.#listIncluded(included));
    }
  }

  #listIncluded(jobs: readonly Job[]): readonly Job[] {
    const nowMs = this.#options.clock.nowMs();
    for (const [job, untilMs] of this.#excludedUntilMs) {
      if (untilMs <= nowMs) this.#excludedUntilMs.delete(job);
    }
    if (this.#excludedUntilMs.size === 0) return jobs;
    return jobs.filter((job) => !this.#excludedUntilMs.has(job));
  }
}

/** Jobs that cannot be planned even alone, found by halving. */
function findFailing<Job>(
  jobs: readonly Job[],
  plan: PlanJobs<Job, unknown>,
): readonly Job[] {
  if (jobs.length === 0 || canPlan(jobs, plan)) return [];
  if (jobs.length === 1) return jobs;
  const middle = Math.floor(jobs.length / 2);
  return [
    ...findFailing(jobs.slice(0, middle), plan),
    ...findFailing(jobs.slice(middle), plan),
  ];
}

function canPlan<Job>(
  jobs: readonly Job[],
  plan: PlanJobs<Job, unknown>,
): boolean {
  try {
    plan(jobs);
    return true;
  } catch {
    return false;
  }
}
