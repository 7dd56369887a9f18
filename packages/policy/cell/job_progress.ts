/**
 * How far a job has come: which tasks are done, which runs failed, and the newest checkpoints.
 * The record is what is stored; the class answers questions about it and takes new ends.
 */
import type { CellJobSpec, StepSpec } from "./types.ts";

/** Progress of one step of one occurrence, as it is stored. */
export interface StepRecord {
  /** Done tasks by index; a done gang is the index 0. */
  readonly done: readonly number[];
  /** Index and run of each run that ended as failed. */
  readonly failures: readonly (readonly [index: number, run: number])[];
  /** Index and newest checkpoint. */
  readonly checkpoints: readonly (readonly [index: number, text: string])[];
}

/** Step records by `{occurrence}.{step}`. */
export type ProgressRecord = Readonly<Record<string, StepRecord>>;

/** A gang counts as one unit with the index 0; every other task is a unit of its own. */
export interface UnitAddress {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

interface StepProgress {
  readonly done: Set<number>;
  readonly failedRuns: Map<number, Set<number>>;
  readonly checkpoints: Map<number, string>;
}

/** The units of a step: one for a gang, else one a task. */
export function countUnits(step: StepSpec): number {
  return step.isGang ? 1 : step.count;
}

/** Key of a step of an occurrence, as used in records. */
export function formatStepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/** Progress of one job. */
export class JobProgress {
  readonly #spec: CellJobSpec;
  readonly #steps = new Map<string, StepProgress>();

  private constructor(spec: CellJobSpec) {
    this.#spec = spec;
  }

  static create(spec: CellJobSpec, record: ProgressRecord = {}): JobProgress {
    const progress = new JobProgress(spec);
    for (const [key, step] of Object.entries(record)) {
      const own = progress.#open(key);
      step.done.forEach((index) => own.done.add(index));
      step.checkpoints.forEach(([index, text]) =>
        own.checkpoints.set(index, text)
      );
      step.failures.forEach(([index, run]) =>
        addFailure(own.failedRuns, index, run)
      );
    }
    return progress;
  }

  get occurrences(): number {
    return this.#spec.recurrence?.times ?? 1;
  }

  /** Wall-clock time from which an occurrence may start; undefined when it is due at once. */
  dueUnixMs(occurrence: number): number | undefined {
    const { recurrence } = this.#spec;
    if (recurrence === undefined) return undefined;
    return recurrence.firstRunUnixMs + occurrence * recurrence.intervalMs;
  }

  /** Whether the occurrence's time has come and all steps before are done. */
  isDue(occurrence: number, step: number, nowUnixMs: number): boolean {
    const dueUnixMs = this.dueUnixMs(occurrence);
    if (dueUnixMs !== undefined && nowUnixMs < dueUnixMs) return false;
    return this.#stepSpec(step).after.every((earlier) =>
      this.isStepDone(occurrence, earlier)
    );
  }

  isStepDone(occurrence: number, step: number): boolean {
    const spec = this.#stepSpec(step);
    if (spec.isPersistent) return false;
    const done = this.#steps.get(formatStepKey(occurrence, step))?.done.size ??
      0;
    return done >= countUnits(spec);
  }

  isUnitDone({ occurrence, step, index }: UnitAddress): boolean {
    const own = this.#steps.get(formatStepKey(occurrence, step));
    return own?.done.has(index) ?? false;
  }

  isComplete(): boolean {
    for (let occurrence = 0; occurrence < this.occurrences; occurrence++) {
      const isDone = this.#spec.steps.every((_, step) =>
        this.isStepDone(occurrence, step)
      );
      if (!isDone) return false;
    }
    return true;
  }

  /** Runs of the unit that ended as failed; the same run counts once. */
  countFailures({ occurrence, step, index }: UnitAddress): number {
    const own = this.#steps.get(formatStepKey(occurrence, step));
    return own?.failedRuns.get(index)?.size ?? 0;
  }

  /** Whether a unit has used up the attempts of its queue; persistent tasks have no such limit. */
  isFailed(): boolean {
    const limit = this.#spec.maximumAttempts;
    for (const [key, step] of this.#steps) {
      const number = Number(key.split(".")[1]);
      if (this.#stepSpec(number).isPersistent) continue;
      for (const [index, runs] of step.failedRuns) {
        if (runs.size >= limit && !step.done.has(index)) return true;
      }
    }
    return false;
  }

  getCheckpoint({ occurrence, step, index }: UnitAddress): string {
    const own = this.#steps.get(formatStepKey(occurrence, step));
    return own?.checkpoints.get(index) ?? "";
  }

  recordDone({ occurrence, step, index }: UnitAddress): void {
    const own = this.#open(formatStepKey(occurrence, step));
    own.done.add(index);
    own.checkpoints.delete(index);
  }

  recordFailure(
    { occurrence, step, index }: UnitAddress,
    run: number,
  ): void {
    const own = this.#open(formatStepKey(occurrence, step));
    addFailure(own.failedRuns, index, run);
  }

  recordCheckpoint(
    { occurrence, step, index }: UnitAddress,
    text: string,
  ): void {
    if (text === "") return;
    this.#open(formatStepKey(occurrence, step)).checkpoints.set(index, text);
  }

  toRecord(): ProgressRecord {
    return Object.fromEntries(
      [...this.#steps].map(([key, step]) => [key, {
        done: [...step.done],
        failures: [...step.failedRuns].flatMap(([index, runs]) =>
          [...runs].map((run) => [index, run] as const)
        ),
        checkpoints: [...step.checkpoints],
      }]),
    );
  }

  #stepSpec(step: number): StepSpec {
    const spec = this.#spec.steps[step];
    if (spec === undefined) throw new RangeError(`no step ${step}`);
    return spec;
  }

  #open(key: string): StepProgress {
    const known = this.#steps.get(key);
    if (known !== undefined) return known;
    const created: StepProgress = {
      done: new Set(),
      failedRuns: new Map(),
      checkpoints: new Map(),
    };
    this.#steps.set(key, created);
    return created;
  }
}

function addFailure(
  runsByIndex: Map<number, Set<number>>,
  index: number,
  run: number,
): void {
  const runs = runsByIndex.get(index) ?? new Set();
  runs.add(run);
  runsByIndex.set(index, runs);
}
