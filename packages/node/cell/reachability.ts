/** Tracks whether a worker answers, from the results of its last calls. */
import type { WorkerName } from "@coltsfootpond/common";
import type { CellLog } from "./log.ts";

/** Healthy workers, too, leave a single call unanswered now and then. */
const FAILURES_TO_UNREACHABLE = 2;

export interface ReachabilityOptions {
  readonly worker: WorkerName;
  readonly log: CellLog;
}

/** Counts consecutive unanswered calls and logs when the worker turns unreachable or reachable. */
export class Reachability {
  readonly #options: ReachabilityOptions;
  #failures = 0;

  private constructor(options: ReachabilityOptions) {
    this.#options = options;
  }

  static create(options: ReachabilityOptions): Reachability {
    return new Reachability(options);
  }

  /** False after FAILURES_TO_UNREACHABLE consecutive unanswered calls. */
  get isReachable(): boolean {
    return this.#failures < FAILURES_TO_UNREACHABLE;
  }

  /** Whether the last call was answered. */
  get isAnswering(): boolean {
    return this.#failures === 0;
  }

  recordAnswer(): void {
    const { worker, log } = this.#options;
    if (!this.isReachable) log.info("worker.reachable", { worker });
    this.#failures = 0;
  }

  recordFailure(reason: string, taskRunCount: number): void {
    const { worker, log } = this.#options;
    this.#failures++;
    if (this.#failures !== FAILURES_TO_UNREACHABLE) return;
    log.warn("worker.unreachable", { worker, reason, members: taskRunCount });
  }
}
