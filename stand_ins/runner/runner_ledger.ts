/** Everything that a runner has run, to be held against what callers were told. */

/** One run of a request. */
export interface RunnerExecution {
  readonly requestId: string;
  readonly attemptId: string;
  readonly service: string;
  readonly startedMs: number;
  endedMs: number | undefined;
}

/** Counters since the start of the runner. */
export interface RunnerCounts {
  readonly executions: number;
  readonly refusals: number;
  readonly maximumInUse: number;
}

/** The newest executions are kept; the counters cover all. */
export class RunnerLedger {
  readonly #capacity: number;
  readonly #executions: RunnerExecution[] = [];
  #executionCount = 0;
  #refusals = 0;
  #maximumInUse = 0;

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  static create(capacity: number): RunnerLedger {
    return new RunnerLedger(capacity);
  }

  begin(
    execution: Omit<RunnerExecution, "endedMs">,
    inUse: number,
  ): RunnerExecution {
    const record: RunnerExecution = { ...execution, endedMs: undefined };
    this.#executions.push(record);
    if (this.#executions.length > this.#capacity) this.#executions.shift();
    this.#executionCount++;
    this.#maximumInUse = Math.max(this.#maximumInUse, inUse);
    return record;
  }

  refuse(): void {
    this.#refusals++;
  }

  list(): readonly RunnerExecution[] {
    return this.#executions;
  }

  getCounts(): RunnerCounts {
    return {
      executions: this.#executionCount,
      refusals: this.#refusals,
      maximumInUse: this.#maximumInUse,
    };
  }
}
