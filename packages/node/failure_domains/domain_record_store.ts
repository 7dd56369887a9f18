/**
 * The record of each failure domain on this entry, and the row last read for it. The failure domain
 * controller and the announcer read and merge records here.
 */
import type { FailureDomainName } from "@coltsfootpond/common";
import {
  type PrioritisedTablePort,
  type RowCondition,
  type TableRow,
  type TransactionOutcome,
  WRITE_PRIORITY,
} from "@coltsfootpond/ports";
import { STATE_CALL_TIMEOUT_MS } from "../constants.ts";
import {
  FAILURE_DOMAIN_STATE,
  type FailureDomainRow,
  getDomainKey,
} from "../rows.ts";
import {
  createUnchangedCondition,
  readValue,
  toJsonValue,
  transactChange,
} from "../state/rows_json.ts";
import type { FailureDomainStatus } from "../types.ts";
import {
  computeRecordsDigest,
  decideDurableRow,
  decideOut,
  type FailureDomainRecord,
  INITIAL_RECORD,
  mergeRecords,
} from "./decisions.ts";

export interface DomainRecordStoreOptions {
  readonly table: PrioritisedTablePort;
  readonly onChanged: (status: FailureDomainStatus) => void;
}

const MAXIMUM_CONFLICTS = 8;

export class DomainRecordStore {
  readonly #options: DomainRecordStoreOptions;
  readonly #records = new Map<FailureDomainName, FailureDomainRecord>();
  readonly #rows = new Map<FailureDomainName, TableRow | undefined>();
  readonly #writing = new Map<FailureDomainName, Promise<void>>();

  private constructor(options: DomainRecordStoreOptions) {
    this.#options = options;
  }

  static create(options: DomainRecordStoreOptions): DomainRecordStore {
    return new DomainRecordStore(options);
  }

  /** Out as long as neither the table service nor a peer has supplied a record. */
  get(failureDomain: FailureDomainName): FailureDomainStatus {
    const record = this.#records.get(failureDomain);
    if (record !== undefined) return { failureDomain, ...record };
    const state = FAILURE_DOMAIN_STATE.OUT;
    return { failureDomain, state, version: 0, provisional: false };
  }

  isKnown(failureDomain: FailureDomainName): boolean {
    return this.#records.has(failureDomain);
  }

  /** Failure domains that an operator has changed at least once. */
  listChanged(): readonly FailureDomainStatus[] {
    return [...this.#records.keys()]
      .map((failureDomain) => this.get(failureDomain))
      .filter(({ version }) => version > 0);
  }

  computeDigest(): number {
    const records = [...this.#records].map(([name, record]) => ({
      name,
      record,
    }));
    return computeRecordsDigest(records);
  }

  listProvisional(): readonly FailureDomainStatus[] {
    return [...this.#records.keys()]
      .map((failureDomain) => this.get(failureDomain))
      .filter((status) => status.provisional);
  }

  /** The condition that the row is unchanged since this entry last read it. */
  createCondition(failureDomain: FailureDomainName): RowCondition {
    const row = this.#rows.get(failureDomain);
    return createUnchangedCondition(getDomainKey(failureDomain), row);
  }

  /** Merges a row as it was read; a row older than the last applied one is dropped. */
  applyRow(failureDomain: FailureDomainName, row: TableRow | undefined): void {
    const seenVersion = this.#rows.get(failureDomain)?.version ?? 0;
    if ((row?.version ?? 0) < seenVersion) return;
    this.#rows.set(failureDomain, row);
    const record = row === undefined
      ? INITIAL_RECORD
      : { ...readValue<FailureDomainRow>(row), provisional: false };
    this.merge(failureDomain, record);
  }

  merge(failureDomain: FailureDomainName, incoming: FailureDomainRecord): void {
    const current = this.#records.get(failureDomain);
    const merged = current === undefined
      ? incoming
      : mergeRecords(current, incoming);
    this.#records.set(failureDomain, merged);
    const isSame = current?.state === merged.state &&
      current.version === merged.version &&
      current.provisional === merged.provisional;
    if (!isSame) this.#options.onChanged({ failureDomain, ...merged });
  }

  /** Puts out in force in memory, with a version above the current record's. */
  applyOut(failureDomain: FailureDomainName): void {
    const known = this.#records.get(failureDomain) ?? INITIAL_RECORD;
    this.merge(failureDomain, decideOut(known));
  }

  /** Reads and applies the row now; false when the table service did not answer. */
  async refresh(failureDomain: FailureDomainName): Promise<boolean> {
    const read = await this.#options.table.read([getDomainKey(failureDomain)], {
      timeoutMs: STATE_CALL_TIMEOUT_MS,
    });
    if (read.kind === "unavailable") return false;
    this.applyRow(failureDomain, read.rows[0]);
    return true;
  }

  /** Writes a provisional record to the table service, or joins the write in progress. */
  makeDurable(failureDomain: FailureDomainName): Promise<void> {
    const running = this.#writing.get(failureDomain);
    if (running !== undefined) return running;
    const write = this.#writeDurable(failureDomain)
      .finally(() => this.#writing.delete(failureDomain));
    this.#writing.set(failureDomain, write);
    return write;
  }

  async #writeDurable(failureDomain: FailureDomainName): Promise<void> {
    for (let conflicts = 0; conflicts < MAXIMUM_CONFLICTS; conflicts++) {
      const present = this.#rows.get(failureDomain);
      const row = decideDurableRow(
        this.#records.get(failureDomain) ?? INITIAL_RECORD,
        present && readValue<FailureDomainRow>(present),
      );
      if (row === undefined) return;
      const outcome = await this.write(failureDomain, row);
      if (outcome.kind !== "conflict") return;
    }
  }

  /** One conditional write; the row that the answer contains is applied. */
  async write(
    failureDomain: FailureDomainName,
    row: FailureDomainRow,
  ): Promise<TransactionOutcome> {
    const key = getDomainKey(failureDomain);
    const outcome = await transactChange(this.#options.table, {
      conditions: [this.createCondition(failureDomain)],
      writes: [{ kind: "put", key, value: toJsonValue(row) }],
    }, WRITE_PRIORITY.FAILURE_DOMAIN);
    if (outcome.kind !== "unavailable") {
      const present = outcome.rows.find((one) => one.key === key);
      this.applyRow(failureDomain, present);
    }
    return outcome;
  }
}
