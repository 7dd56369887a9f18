/**
 * The roster, the list of workers on which tasks may run, as rows of bounded size. A worker stays in
 * its row, so that a change rewrites one row only.
 */
import type { WorkerName } from "@coltsfootpond/common";
import type {
  RecordDecoder,
  StateRow,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { decodeRow, encodeRow, ROSTER_KEY, type RosterRow } from "../rows.ts";

/** Separates the number of a row after the first from the key. */
const NUMBER_SEPARATOR = "-";
/** Bytes of the row and of one worker besides its name and address, rounded up. */
const ROW_OVERHEAD_BYTES = 32;
const WORKER_OVERHEAD_BYTES = 8;
/** Share of the store's limit that is used, as the limit may count the base64 form. */
const USED_SHARE = 0.5;

/** One row with its contents. */
export interface RosterContents {
  readonly key: string;
  readonly workers: readonly WorkerTarget[];
}

interface Row {
  readonly workers: Map<WorkerName, WorkerTarget>;
  bytes: number;
  /** Contents as last stored in this epoch; undefined when it has not been. */
  stored: string | undefined;
  /** Workers that the row lists in the store, whichever of the unsettled writes have taken effect. */
  listed: ReadonlyMap<WorkerName, WorkerTarget>;
}

function computeBytes({ worker, address }: WorkerTarget): number {
  return worker.length + address.length + WORKER_OVERHEAD_BYTES;
}

function describe(workers: readonly WorkerTarget[]): string {
  return JSON.stringify(
    workers.map(({ worker, address }) => [worker, address]),
  );
}

/** The workers of a stored row that can be called; none when the bytes are no roster. */
function decodeTargets(
  value: Uint8Array,
  { decodeWorkerTarget }: Pick<RecordDecoder, "decodeWorkerTarget">,
): readonly WorkerTarget[] {
  let row: Partial<RosterRow> | null;
  try {
    row = decodeRow<Partial<RosterRow> | null>(value);
  } catch {
    return [];
  }
  const workers: unknown = row?.workers;
  return Array.isArray(workers)
    ? workers.flatMap((item) =>
      Array.isArray(item) ? decodeWorkerTarget(item[0], item[1]) ?? [] : []
    )
    : [];
}

/** Encodes the contents as a row. */
export function encodeRoster({ workers }: RosterContents): Uint8Array {
  return encodeRow({
    workers: workers.map(({ worker, address }) => [worker, address] as const),
  });
}

function formatKey(number: number): string {
  return number === 0
    ? ROSTER_KEY
    : `${ROSTER_KEY}${NUMBER_SEPARATOR}${number}`;
}

/** The number of the row with this key; undefined for other keys. */
function parseKey(key: string): number | undefined {
  if (key === ROSTER_KEY) return 0;
  const prefix = `${ROSTER_KEY}${NUMBER_SEPARATOR}`;
  const number = Number(key.slice(prefix.length));
  return key.startsWith(prefix) && formatKey(number) === key
    ? number
    : undefined;
}

/** The rows of the roster, as stored and as they are to be stored. */
export class RosterRows {
  readonly #maximumBytes: number;
  readonly #rows = new Map<number, Row>();

  private constructor(rowLimitBytes: number) {
    this.#maximumBytes = rowLimitBytes * USED_SHARE;
  }

  /** `rowLimitBytes`: the store's limit of the value of a row. */
  static create(rowLimitBytes: number): RosterRows {
    return new RosterRows(rowLimitBytes);
  }

  /**
   * Reads what earlier lease holders have stored, and returns the workers that can be called. Each
   * row that was found is written again, so that a late write of an earlier holder has no effect.
   */
  load(
    rows: Iterable<StateRow>,
    recordDecoder: Pick<RecordDecoder, "decodeWorkerTarget">,
  ): readonly WorkerTarget[] {
    const targets = new Map<WorkerName, WorkerTarget>();
    for (const { key, value } of rows) {
      const number = parseKey(key);
      if (number === undefined || value === undefined) continue;
      const row = this.#getRow(number);
      for (const target of decodeTargets(value, recordDecoder)) {
        if (targets.has(target.worker)) continue;
        targets.set(target.worker, target);
        if (this.#fits(row, target)) this.#add(row, target);
      }
    }
    return [...targets.values()];
  }

  /** Replaces the list. Each of its workers stays in its row while it fits. */
  replace(targets: readonly WorkerTarget[]): void {
    const pending = new Map(targets.map((target) => [target.worker, target]));
    for (const row of this.#rows.values()) {
      for (const known of [...row.workers.values()]) {
        const target = pending.get(known.worker);
        this.#remove(row, known);
        if (target === undefined || !this.#fits(row, target)) continue;
        this.#add(row, target);
        pending.delete(target.worker);
      }
    }
    let number = 0;
    for (const target of pending.values()) {
      if (!this.#mayFit(target)) continue;
      while (!this.#fits(this.#getRow(number), target)) number++;
      this.#add(this.#getRow(number), target);
    }
  }

  /** The rows whose contents are stored, and those that are to be stored. */
  compare(): {
    readonly stored: readonly RosterContents[];
    readonly changed: readonly RosterContents[];
  } {
    const stored: RosterContents[] = [];
    const changed: RosterContents[] = [];
    for (const [number, row] of this.#rows) {
      const workers = [...row.workers.values()];
      const isStored = row.stored === describe(workers);
      (isStored ? stored : changed).push({ key: formatKey(number), workers });
    }
    return { stored, changed };
  }

  /** The workers that the stored rows list for certain. */
  listStored(): ReadonlyMap<WorkerName, WorkerTarget> {
    return new Map(
      [...this.#rows.values()].flatMap(({ listed }) => [...listed]),
    );
  }

  /** Takes note of a write that is about to be sent. It may take effect even if it fails. */
  beginWrite({ key, workers }: RosterContents): void {
    const row = this.#rows.get(parseKey(key) ?? 0);
    if (row === undefined) return;
    row.stored = undefined;
    row.listed = new Map(
      workers.flatMap((target) =>
        row.listed.get(target.worker)?.address === target.address
          ? [[target.worker, target] as const]
          : []
      ),
    );
  }

  /** Takes note of a write. One that failed may still take effect, so the row is unknown then. */
  recordWrite({ key, workers }: RosterContents, isStored: boolean): void {
    const row = this.#rows.get(parseKey(key) ?? 0);
    if (row === undefined) return;
    row.stored = isStored ? describe(workers) : undefined;
    if (isStored) {
      row.listed = new Map(workers.map((target) => [target.worker, target]));
    }
  }

  #getRow(number: number): Row {
    const known = this.#rows.get(number);
    if (known !== undefined) return known;
    const row: Row = {
      workers: new Map(),
      bytes: ROW_OVERHEAD_BYTES,
      stored: undefined,
      listed: new Map(),
    };
    this.#rows.set(number, row);
    return row;
  }

  /** Whether a row of its own has room for the worker. */
  #mayFit(target: WorkerTarget): boolean {
    return ROW_OVERHEAD_BYTES + computeBytes(target) <= this.#maximumBytes;
  }

  #fits(row: Row, target: WorkerTarget): boolean {
    return row.bytes + computeBytes(target) <= this.#maximumBytes;
  }

  #add(row: Row, target: WorkerTarget): void {
    row.workers.set(target.worker, target);
    row.bytes += computeBytes(target);
  }

  #remove(row: Row, target: WorkerTarget): void {
    row.workers.delete(target.worker);
    row.bytes -= computeBytes(target);
  }
}
