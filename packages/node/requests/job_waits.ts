/**
 * Callers whose connections are held until their job ends. A stop lets all of them go at once, so
 * each gets a complete 202 with the place of its answer.
 */
import type { Clock, OrganisationName, RequestId } from "@coltsfootpond/common";
import type { JobLookup, JobOperations } from "../types.ts";
import { DEFAULT_WAIT_MS } from "./constants.ts";
import type { WaitPreference } from "./types.ts";

/** What a caller waits for. */
export interface HeldWait {
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
  readonly wait: WaitPreference;
  readonly deadlineMs?: number;
}

export interface HeldWaitsOptions {
  readonly clock: Clock;
  readonly jobs: JobOperations;
}

/** All held waits of one entry. */
export class JobWaits {
  readonly #options: HeldWaitsOptions;
  readonly #releases = new Set<() => void>();
  #stopping = false;

  private constructor(options: HeldWaitsOptions) {
    this.#options = options;
  }

  static create(options: HeldWaitsOptions): JobWaits {
    return new JobWaits(options);
  }

  /** Undefined when the caller is not to be held any longer. */
  hold(held: HeldWait): Promise<JobLookup | undefined> {
    const timeoutMs = this.#findTimeoutMs(held);
    if (timeoutMs <= 0 || this.#stopping) return Promise.resolve(undefined);
    const { organisation, requestId } = held;
    const ended = this.#options.jobs.waitForEnd(
      organisation,
      requestId,
      timeoutMs,
    );
    return new Promise((resolve, reject) => {
      const release = (): void => resolve(undefined);
      this.#releases.add(release);
      ended.then(resolve, reject).finally(() => this.#releases.delete(release));
    });
  }

  /** Lets every held caller go. */
  releaseAll(): void {
    this.#stopping = true;
    for (const release of this.#releases) release();
  }

  #findTimeoutMs(held: HeldWait): number {
    const { respondAsync, waitMs } = held.wait;
    const wantedMs = waitMs ?? (respondAsync ? 0 : DEFAULT_WAIT_MS);
    if (held.deadlineMs === undefined) return wantedMs;
    const remainingMs = held.deadlineMs - this.#options.clock.nowMs();
    return Math.min(wantedMs, remainingMs);
  }
}
