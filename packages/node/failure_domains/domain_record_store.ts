/** What this entry holds to be so of each failure domain, and the rows it last saw. */
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

export interface DomainFactsOptions {
  readonly table: PrioritisedTablePort;
  readonly onChanged: (status: FailureDomainStatus) => void;
}

const MAXIMUM_CONFLICTS = 8;

export class DomainRecordStore {
  readonly #options: DomainFactsOptions;
  readonly #facts = new Map<FailureDomainName, FailureDomainRecord>();
  readonly #rows = new Map<FailureDomainName, TableRow | undefined>();
  readonly #writing = new Map<FailureDomainName, Promise<void>>();

  private constructor(options: DomainFactsOptions) {
    this.#options = options;
  }

  static create(options: DomainFactsOptions): DomainRecordStore {
    return new DomainRecordStore(options);
  }

  /** Out until the table service or a peer has told otherwise. */
  get(failureDomain: FailureDomainName): FailureDomainStatus {
    const fact = this.#facts.get(failureDomain);
    if (fact !== undefined) return { failureDomain, ...fact };
    const state = FAILURE_DOMAIN_STATE.OUT;
    return { failureDomain, state, version: 0, provisional: false };
  }

  isKnown(failureDomain: FailureDomainName): boolean {
    return this.#facts.has(failureDomain);
  }

  /** Failure domains that some operator has changed. */
  listChanged(): readonly FailureDomainStatus[] {
    return [...this.#facts.keys()]
      .map((failureDomain) => this.get(failureDomain))
      .filter(({ version }) => version > 0);
  }

  computeDigest(): number {
    const facts = [...this.#facts].map(([name, fact]) => ({ name, fact }));
    return computeRecordsDigest(facts);
  }

  listProvisional(): readonly FailureDomainStatus[] {
    return [...this.#facts.keys()]
      .map((failureDomain) => this.get(failureDomain))
      .filter((status) => status.provisional);
  }

  /** The condition that the row still is as this entry last saw it. */
  createCondition(failureDomain: FailureDomainName): RowCondition {
    const row = this.#rows.get(failureDomain);
    return createUnchangedCondition(getDomainKey(failureDomain), row);
  }

  /** Takes in a row as it was read; an older one than was seen before is dropped. */
  applyRow(failureDomain: FailureDomainName, row: TableRow | undefined): void {
    const seenVersion = this.#rows.get(failureDomain)?.version ?? 0;
    if ((row?.version ?? 0) < seenVersion) return;
    this.#rows.set(failureDomain, row);
    const fact = row === undefined
      ? INITIAL_RECORD
      : { ...readValue<FailureDomainRow>(row), provisional: false };
    this.merge(failureDomain, fact);
  }

  merge(failureDomain: FailureDomainName, incoming: FailureDomainRecord): void {
    const current = this.#facts.get(failureDomain);
    const merged = current === undefined
      ? incoming
      : mergeRecords(current, incoming);
    this.#facts.set(failureDomain, merged);
    const isSame = current?.state === merged.state &&
      current.version === merged.version &&
      current.provisional === merged.provisional;
    if (!isSame) this.#options.onChanged({ failureDomain, ...merged });
  }

  /** Binds out in memory, above every version known here. */
  bindOut(failureDomain: FailureDomainName): void {
    const known = this.#facts.get(failureDomain) ?? INITIAL_RECORD;
    this.merge(failureDomain, decideOut(known));
  }

  /** Reads the row now; false when the table service gave no answer. */
  async confirm(failureDomain: FailureDomainName): Promise<boolean> {
    const read = await this.#options.table.read([getDomainKey(failureDomain)], {
      timeoutMs: STATE_CALL_TIMEOUT_MS,
    });
    if (read.kind === "unavailable") return false;
    this.applyRow(failureDomain, read.rows[0]);
    return true;
  }

  /** Writes a provisional fact to the table service, or joins the write under way. */
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
        this.#facts.get(failureDomain) ?? INITIAL_RECORD,
        present && readValue<FailureDomainRow>(present),
      );
      if (row === undefined) return;
      const outcome = await this.write(failureDomain, row);
      if (outcome.kind !== "conflict") return;
    }
  }

  /** One conditional write; the rows that come back are taken in. */
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
