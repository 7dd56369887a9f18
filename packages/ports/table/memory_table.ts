/**
 * A table service and an object store in memory, with the semantics of the platform's, for tests
 * and the platform stand-in. `fault_injector.ts` adds faults to them.
 */
import type { JsonValue } from "@coltsfootpond/common";
import type {
  GetOutcome,
  ObjectPort,
  PutOutcome,
  ReadOutcome,
  RowCondition,
  TablePort,
  TableRow,
  TableTransaction,
  TransactionOutcome,
} from "../types.ts";

/** Numbers of calls and row writes since the table was created. */
export interface TableCallCounts {
  readonly transactions: number;
  readonly writes: number;
  readonly reads: number;
  readonly scans: number;
}

/** Rows in memory; every transaction is atomic. */
export class MemoryTable implements TablePort {
  readonly #rows = new Map<string, TableRow>();
  /** Kept after a row is deleted: a reused version could satisfy an outdated condition. */
  readonly #versions = new Map<string, number>();
  #transactions = 0;
  #writes = 0;
  #reads = 0;
  #scans = 0;

  private constructor() {}

  static create(): MemoryTable {
    return new MemoryTable();
  }

  transact(transaction: TableTransaction): Promise<TransactionOutcome> {
    return Promise.resolve(this.transactSync(transaction));
  }

  read(keys: readonly string[]): Promise<ReadOutcome> {
    this.#reads += 1;
    return Promise.resolve({ kind: "rows", rows: this.#list(keys) });
  }

  scan(prefix: string): Promise<ReadOutcome> {
    this.#scans += 1;
    const keys = [...this.#rows.keys()]
      .filter((key) => key.startsWith(prefix))
      .sort();
    return Promise.resolve({ kind: "rows", rows: this.#list(keys) });
  }

  /** The synchronous form of `transact`, for model checking. */
  transactSync(transaction: TableTransaction): TransactionOutcome {
    this.#transactions += 1;
    if (!transaction.conditions.every((one) => this.#isSatisfied(one))) {
      const keys = transaction.conditions.map((condition) => condition.key);
      return { kind: "conflict", rows: this.#list(keys) };
    }
    for (const write of transaction.writes) {
      const version = (this.#versions.get(write.key) ?? 0) + 1;
      this.#versions.set(write.key, version);
      this.#writes += 1;
      if (write.kind === "delete") {
        this.#rows.delete(write.key);
        continue;
      }
      this.#rows.set(write.key, {
        key: write.key,
        version,
        writeId: transaction.writeId,
        value: write.value,
      });
    }
    const keys = transaction.writes.map((write) => write.key);
    return { kind: "committed", rows: this.#list(keys) };
  }

  getRow(key: string): TableRow | undefined {
    return this.#rows.get(key);
  }

  getValue(key: string): JsonValue | undefined {
    return this.#rows.get(key)?.value;
  }

  countCalls(): TableCallCounts {
    return {
      transactions: this.#transactions,
      writes: this.#writes,
      reads: this.#reads,
      scans: this.#scans,
    };
  }

  #isSatisfied(condition: RowCondition): boolean {
    const row = this.#rows.get(condition.key);
    if (condition.kind === "absent") return row === undefined;
    return row?.version === condition.version;
  }

  #list(keys: readonly string[]): TableRow[] {
    return [...new Set(keys)]
      .map((key) => this.#rows.get(key))
      .filter((row) => row !== undefined);
  }
}

export class MemoryObjects implements ObjectPort {
  readonly #objects = new Map<string, Uint8Array>();

  private constructor() {}

  static create(): MemoryObjects {
    return new MemoryObjects();
  }

  put(key: string, content: Uint8Array): Promise<PutOutcome> {
    this.#objects.set(key, content.slice());
    return Promise.resolve({ kind: "stored" });
  }

  get(key: string): Promise<GetOutcome> {
    const content = this.#objects.get(key);
    return Promise.resolve(
      content === undefined ? { kind: "absent" } : { kind: "found", content },
    );
  }

  listKeys(): readonly string[] {
    return [...this.#objects.keys()].sort();
  }
}
