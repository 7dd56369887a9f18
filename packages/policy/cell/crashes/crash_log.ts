/** The crashes of the units of one step since each unit's last run that lasted. */
import { type Crash, CRASH_EVIDENCE } from "./crash_evidence.ts";

/** Stored form: unit index, run number, evidence, address of the machine. */
export type CrashRecord = readonly [
  index: number,
  run: number,
  evidence: Crash["evidence"],
  machine: string,
];

/** By unit index, then by run number: the tasks of a gang that are lost together count once. */
export class CrashLog {
  readonly #crashes = new Map<number, Map<number, Crash>>();

  private constructor(records: readonly CrashRecord[]) {
    for (const [index, run, evidence, machine] of records) {
      this.record(index, { run, evidence, machine });
    }
  }

  static create(records: readonly CrashRecord[] = []): CrashLog {
    return new CrashLog(records);
  }

  get isEmpty(): boolean {
    return this.#crashes.size === 0;
  }

  /** Adds the crash; of several of one run the surest stays. */
  record(index: number, crash: Crash): void {
    const crashes = this.#crashes.get(index) ?? new Map<number, Crash>();
    this.#crashes.set(index, crashes);
    const known = crashes.get(crash.run);
    if (known?.evidence === CRASH_EVIDENCE.AT_START) return;
    crashes.set(crash.run, crash);
  }

  clear(index: number): void {
    this.#crashes.delete(index);
  }

  get(index: number): readonly Crash[] {
    return [...this.#crashes.get(index)?.values() ?? []];
  }

  /** Indexes of the units that have crashes. */
  get indexes(): readonly number[] {
    return [...this.#crashes.keys()];
  }

  toRecords(): readonly CrashRecord[] {
    return this.indexes.flatMap((index) =>
      this.get(index).map(({ run, evidence, machine }) =>
        [index, run, evidence, machine] as const
      )
    );
  }
}
