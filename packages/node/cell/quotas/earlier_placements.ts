/**
 * Placements that earlier lease holders have stored, as far as their runs may still be running
 * unreported. They are kept when their jobs end, as the runs do not end with the job.
 */
import type { WorkerName } from "@coltsfootpond/common";
import {
  type CellJobId,
  type CellResources,
  multiplyResources,
} from "@coltsfootpond/policy";
import { type LiveJob, parseUnitKey } from "../live_job.ts";
import { createAccount, type RunAccount } from "./run_account.ts";

/** Runs that may be running and that no report has named. */
export interface UnreportedRuns {
  readonly account: RunAccount;
  readonly tasks: number;
}

interface EarlierPlacement extends UnreportedRuns {
  readonly workers: readonly WorkerName[];
}

export class EarlierPlacements {
  readonly #recordedJobs = new Set<CellJobId>();
  #placements: readonly EarlierPlacement[] = [];

  private constructor() {}

  static create(): EarlierPlacements {
    return new EarlierPlacements();
  }

  /** Takes note of the placements of jobs that are not known yet. */
  record(jobs: readonly LiveJob[]): void {
    for (const job of jobs) {
      const isNew = job.earlierPlacements.size > 0 &&
        !this.#recordedJobs.has(job.jobId);
      if (!isNew) continue;
      this.#recordedJobs.add(job.jobId);
      this.#placements = [...this.#placements, ...listPlacements(job)];
    }
  }

  /**
   * The runs on workers for which `isUnreported` holds. A stored placement names each worker once,
   * so a gang counts there with all tasks but one for each of its other workers.
   */
  list(
    isUnreported: (worker: WorkerName) => boolean,
  ): readonly UnreportedRuns[] {
    // A worker that has reported, or whose leases have ended, stays so.
    this.#placements = this.#placements.filter(({ workers }) =>
      workers.some(isUnreported)
    );
    return this.#placements.map(({ account, tasks, workers }) => {
      const unreported = workers.filter(isUnreported).length;
      const reported = workers.length - unreported;
      return { account, tasks: Math.max(unreported, tasks - reported) };
    });
  }
}

function listPlacements(job: LiveJob): readonly EarlierPlacement[] {
  return [...job.earlierPlacements].flatMap(([key, workers]) => {
    const step = job.spec.steps[parseUnitKey(key).step];
    if (step === undefined) return [];
    const tasks = step.isGang ? step.count : 1;
    return [{ account: createAccount(job, step), tasks, workers }];
  });
}

/** What the runs count as; undefined where the requirement is not known. */
export function computeUnreportedRequirement(
  { account, tasks }: UnreportedRuns,
): CellResources | undefined {
  return account.kind === "known"
    ? multiplyResources(account.requirement, tasks)
    : undefined;
}
