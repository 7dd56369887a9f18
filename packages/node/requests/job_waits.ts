/**
 * Callers that wait on an open connection for the end of their job. When the entry stops, all waits
 * end at once, so that each caller gets a complete 202 with the location of its answer.
 */
import type { Clock, OrganisationName, RequestId } from "@coltsfootpond/common";
import type { JobLookup, JobOperations } from "../types.ts";
import { DEFAULT_WAIT_MS } from "./constants.ts";
import type { WaitPreference } from "./types.ts";

/** A caller's wait for the end of a job. */
export interface JobWait {
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
  readonly wait: WaitPreference;
  readonly deadlineMs?: number;
}

export interface JobWaitsOptions {
  readonly clock: Clock;
  readonly jobs: JobOperations;
}

/** All waits of callers on one entry. */
export class JobWaits {
  readonly #options: JobWaitsOptions;
  readonly #releaseCallbacks = new Set<() => void>();
  #stopping = false;

  private constructor(options: JobWaitsOptions) {
    this.#options = options;
  }

  static create(options: JobWaitsOptions): JobWaits {
    return new JobWaits(options);
  }

  /**
   * Resolves with the job at its end or after the timeout; undefined when the caller does not wait
   * or the entry stops.
   */
  waitForEnd(jobWait: JobWait): Promise<JobLookup | undefined> {
    const timeoutMs = this.#findTimeoutMs(jobWait);
    if (timeoutMs <= 0 || this.#stopping) return Promise.resolve(undefined);
    const { organisation, requestId } = jobWait;
    const ended = this.#options.jobs.waitForEnd(
      organisation,
      requestId,
      timeoutMs,
    );
    return new Promise((resolve, reject) => {
      const release = (): void => resolve(undefined);
      this.#releaseCallbacks.add(release);
      ended.then(resolve, reject).finally(() =>
        this.#releaseCallbacks.delete(release)
      );
    });
  }

  /** Ends every wait and refuses new ones; called before the server stops. */
  releaseAll(): void {
    this.#stopping = true;
    for (const release of this.#releaseCallbacks) release();
  }

  #findTimeoutMs(jobWait: JobWait): number {
    const { respondAsync, waitMs } = jobWait.wait;
    const wantedMs = waitMs ?? (respondAsync ? 0 : DEFAULT_WAIT_MS);
    if (jobWait.deadlineMs === undefined) return wantedMs;
    const remainingMs = jobWait.deadlineMs - this.#options.clock.nowMs();
    return Math.min(wantedMs, remainingMs);
  }
}
