/** Waits for the end of one job; an end received before `wait` was called counts too. */
import type { JobId } from "@coltsfootpond/common";
import { type Observable, Subject } from "rxjs";
import type { EntryContext } from "../types.ts";

export interface EndSignalOptions {
  readonly context: EntryContext;
  /**
   * Ids of jobs that ended, in this entry's failure domains or in those of peers. Messages of peers
   * can be lost, so an id may never appear.
   */
  readonly endedJobs: Observable<JobId>;
}

/**
 * Signal that one job has ended. Subscribed from its creation until `cancel`, or until `wait` has
 * resolved.
 */
export interface EndSignal {
  cancel(): void;
  /** Resolves when the job has ended or after `timeoutMs`. */
  wait(timeoutMs: number): Promise<void>;
}

export function createEndSignal(
  { context, endedJobs }: EndSignalOptions,
  jobId: JobId,
): EndSignal {
  const { clock } = context;
  const ended = new Subject<void>();
  let hasEnded = false;
  const subscription = endedJobs.subscribe((endedId) => {
    if (endedId !== jobId) return;
    hasEnded = true;
    ended.next();
  });
  return {
    cancel: () => subscription.unsubscribe(),
    wait: (timeoutMs) =>
      new Promise<void>((resolve) => {
        const finish = (): void => {
          timer.cancel();
          subscription.unsubscribe();
          resolve();
        };
        const timer = clock.after(hasEnded ? 0 : timeoutMs, finish);
        ended.subscribe(finish);
      }),
  };
}
