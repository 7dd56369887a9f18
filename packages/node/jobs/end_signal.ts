/** Waits for the end of one job; an end heard before the wait began counts. */
import type { JobId } from "@coltsfootpond/common";
import { type Observable, Subject } from "rxjs";
import type { EntryContext } from "../types.ts";

export interface EndSignalOptions {
  readonly context: EntryContext;
  /** Jobs known to have ended. */
  readonly endedJobs: Observable<JobId>;
}

export interface EndSignal {
  cancel(): void;
  wait(timeoutMs: number): Promise<void>;
}

export function createEndSignal(
  { context, endedJobs: endings }: EndSignalOptions,
  jobId: JobId,
): EndSignal {
  const { clock } = context;
  const ended = new Subject<void>();
  let seen = false;
  const subscription = endings.subscribe((endedId) => {
    if (endedId !== jobId) return;
    seen = true;
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
        const timer = clock.after(seen ? 0 : timeoutMs, finish);
        ended.subscribe(finish);
      }),
  };
}
