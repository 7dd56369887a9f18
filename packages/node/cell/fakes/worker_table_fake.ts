/**
 * The workers' table of a simulated cell: the records of the workers, and odd rows, which another
 * writer puts, changes and removes. Knows which targets a usable record has named so far.
 */
import type { ServiceName, WorkerName } from "@coltsfootpond/common";
import type {
  StateRow,
  WorkerRecord,
  WorkerTarget,
} from "@coltsfootpond/ports";
import type { WorkerFake } from "../workers_fake.ts";
import { isUsableAddress } from "./worker_addresses.ts";

/** What the bytes of another writer's row stand for. */
export type OddRow =
  | { readonly kind: "unreadable" }
  | { readonly kind: "record"; readonly record: WorkerRecord };

const UNREADABLE: OddRow = { kind: "unreadable" };

export interface WorkerTableFakeOptions {
  readonly workers: ReadonlyMap<WorkerName, WorkerFake>;
  /** Whether the declared state names the service. */
  readonly isDeclared: (service: ServiceName) => boolean;
}

export class WorkerTableFake {
  readonly #options: WorkerTableFakeOptions;
  readonly #oddRows = new Map<string, OddRow>();
  /** What the bytes of a row stand for. */
  readonly #meanings = new WeakMap<Uint8Array, OddRow>();
  readonly #usableTargets = new Set<string>();
  /** Targets of records that were read, by their service, until it is declared. */
  readonly #undeclaredTargets = new Map<ServiceName, Set<string>>();

  private constructor(options: WorkerTableFakeOptions) {
    this.#options = options;
  }

  static create(options: WorkerTableFakeOptions): WorkerTableFake {
    return new WorkerTableFake(options);
  }

  get oddKeys(): readonly string[] {
    return [...this.#oddRows.keys()];
  }

  /** Another writer puts the row; a worker of that name replaces it at its next heartbeat. */
  putOddRow(key: string, row: OddRow): void {
    this.#oddRows.set(key, row);
  }

  /**
   * Another writer removes its row, or only this one; a worker of that name puts its own at its next
   * heartbeat.
   */
  removeOddRow(key: string, row = this.#oddRows.get(key)): void {
    if (row === undefined || this.#oddRows.get(key) !== row) return;
    this.#oddRows.delete(key);
    this.#options.workers.get(key as WorkerName)?.removeRecord();
  }

  /** The worker has written its record. */
  dropOddRow(worker: WorkerName): void {
    this.#oddRows.delete(worker);
  }

  /** All rows; odd ones come before and after the others. */
  createRows(): readonly StateRow[] {
    const { workers } = this.#options;
    const meanings = new Map<string, OddRow>();
    for (const [key, worker] of workers) {
      const record = worker.storedRecord;
      if (record !== undefined) meanings.set(key, { kind: "record", record });
    }
    const hasOddRows = this.#oddRows.size > 0;
    for (const [key, row] of this.#oddRows) meanings.set(key, row);
    const keys = [...meanings.keys()];
    return (hasOddRows ? keys.sort() : keys).map((key) => {
      const value = new Uint8Array(0);
      this.#meanings.set(value, meanings.get(key)!);
      return { key, version: 1, value };
    });
  }

  /** What the decoder makes of the row; a record with an address that can't be used is unreadable. */
  decode(key: string, value: Uint8Array): OddRow {
    const meaning = this.#meanings.get(value) ?? UNREADABLE;
    const worker = this.#options.workers.get(key as WorkerName);
    const isUsable = meaning.kind === "record" &&
      worker?.isRecordUnreadable !== true &&
      isUsableAddress(meaning.record.address);
    if (!isUsable) return UNREADABLE;
    const { address, service } = meaning.record;
    const targets = this.#undeclaredTargets.get(service) ?? new Set();
    targets.add(describeTarget({ worker: key, address }));
    this.#undeclaredTargets.set(service, targets);
    this.applyDeclaredServices();
    return { kind: "record", record: meaning.record };
  }

  /** Records that were read before their service was declared are usable from then on. */
  applyDeclaredServices(): void {
    for (const [service, targets] of this.#undeclaredTargets) {
      if (!this.#options.isDeclared(service)) continue;
      targets.forEach((target) => this.#usableTargets.add(target));
      this.#undeclaredTargets.delete(service);
    }
  }

  /** Whether a usable record has named the target. */
  hasNamed(target: WorkerTarget): boolean {
    return this.#usableTargets.has(describeTarget(target));
  }
}

function describeTarget(
  { worker, address }: { readonly worker: string; readonly address: string },
): string {
  return `${worker} ${address}`;
}
