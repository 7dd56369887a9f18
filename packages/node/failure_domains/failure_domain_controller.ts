/**
 * Tracks which failure domains are in service and out of service, and changes that for operators.
 * Taking a failure domain out is in force in memory at once on every entry that can be reached, and
 * is made durable when the table service is reachable.
 */
import type {
  EntryName,
  FailureDomainName,
  ResultName,
  Timer,
} from "@coltsfootpond/common";
import {
  getUnavailableResult,
  type PrioritisedTablePort,
  type RowCondition,
  type TableRow,
} from "@coltsfootpond/ports";
import { type Observable, Subject } from "rxjs";
import {
  DOMAIN_REBROADCAST_PERIOD_MS,
  DOMAIN_WRITE_JITTER_MS,
} from "../constants.ts";
import {
  FAILURE_DOMAIN_STATE,
  type FailureDomainState,
  getDomainKey,
} from "../rows.ts";
import type { RowSnapshot, RowWatcher } from "../state/row_watcher.ts";
import type {
  Controller,
  EntryContext,
  FailureDomainStatus,
  FailureDomainView,
  MembershipView,
  Mesh,
} from "../types.ts";
import { DomainAnnouncer } from "./domain_announcer.ts";
import { DomainRecordStore } from "./domain_record_store.ts";

export interface FailureDomainControllerOptions {
  readonly context: EntryContext;
  readonly mesh: Mesh;
  readonly table: PrioritisedTablePort;
  readonly rows: RowWatcher;
  readonly membership: MembershipView;
  /** Names of the failure domains in the configuration in force. */
  readonly listDeclared: () => readonly FailureDomainName[];
  /** Whether no peer has read a newer member index than this entry. */
  readonly isMembershipNewest: () => boolean;
  readonly getOwner: (
    failureDomain: FailureDomainName,
  ) => EntryName | undefined;
}

/** An operator's change. Without `baseVersion` it is made whatever the current version is. */
export interface FailureDomainChangeRequest {
  readonly failureDomain: FailureDomainName;
  readonly state: FailureDomainState;
  readonly baseVersion?: number;
}

export type ChangeOutcome =
  | {
    readonly kind: "changed";
    readonly status: FailureDomainStatus;
    /** Whether the change is stored in the table service. */
    readonly durable: boolean;
    /** Entries on which the change is in force now, this one included. */
    readonly inForceEntries: readonly EntryName[];
    readonly registeredEntries: number;
    /** Whether the owner of the failure domain is among `inForceEntries`. */
    readonly ownerAcknowledged: boolean;
    /**
     * Durable, or in force on every registered entry. Otherwise an entry that was not reached may
     * become the owner of the failure domain and start work there.
     */
    readonly binding: boolean;
  }
  | {
    readonly kind: "refused";
    readonly resultName: ResultName;
    /** The status that is in force instead. */
    readonly status?: FailureDomainStatus;
  };

/**
 * How often an out is tried: it is repeated with a higher version when a newer in, which this entry
 * had not received, has overridden it.
 */
const MAXIMUM_REBASES = 4;

export class FailureDomainController implements Controller, FailureDomainView {
  readonly name = "failure_domains";
  readonly #options: FailureDomainControllerOptions;
  readonly #records: DomainRecordStore;
  readonly #announcer: DomainAnnouncer;
  readonly #changes = new Subject<FailureDomainStatus>();
  /** When this entry also writes a provisional record, in case the entry that made it cannot. */
  readonly #durableDueMs = new Map<FailureDomainName, number>();
  #timer: Timer | undefined;

  private constructor(options: FailureDomainControllerOptions) {
    this.#options = options;
    this.#records = DomainRecordStore.create({
      table: options.table,
      onChanged: (status) => this.#onChanged(status),
    });
    this.#announcer = DomainAnnouncer.create({
      mesh: options.mesh,
      clock: options.context.clock,
      records: this.#records,
      onDurable: () => void options.rows.refresh(),
    });
  }

  static create(
    options: FailureDomainControllerOptions,
  ): FailureDomainController {
    const controller = new FailureDomainController(options);
    options.rows.add({
      listKeys: () => options.listDeclared().map(getDomainKey),
      applySnapshot: (snapshot) => controller.#applySnapshot(snapshot),
    });
    return controller;
  }

  get changes(): Observable<FailureDomainStatus> {
    return this.#changes;
  }

  get(failureDomain: FailureDomainName): FailureDomainStatus {
    return this.#records.get(failureDomain);
  }

  list(): readonly FailureDomainStatus[] {
    return this.#options.listDeclared().map((name) => this.get(name));
  }

  start(): Promise<void> {
    this.#announcer.start();
    this.#timer = this.#options.context.clock.every(
      DOMAIN_REBROADCAST_PERIOD_MS,
      () => this.#writeProvisional(),
    );
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.#announcer.stop();
    this.#timer?.cancel();
    return Promise.resolve();
  }

  /**
   * Digest of the records; equal on two entries that have the same record of every failure domain.
   */
  computeRecordsDigest(): number {
    return this.#records.computeDigest();
  }

  /** The condition that the failure domain's row is unchanged since this entry last read it. */
  createCondition(failureDomain: FailureDomainName): RowCondition {
    return this.#records.createCondition(failureDomain);
  }

  /** Applies a failure domain's row from the answer to another controller's transaction. */
  applyRow(failureDomain: FailureDomainName, row: TableRow | undefined): void {
    this.#records.applyRow(failureDomain, row);
  }

  async change(request: FailureDomainChangeRequest): Promise<ChangeOutcome> {
    const { failureDomain, state, baseVersion } = request;
    if (!this.#options.listDeclared().includes(failureDomain)) {
      return { kind: "refused", resultName: "UNKNOWN_DOMAIN" };
    }
    const status = this.get(failureDomain);
    if (baseVersion !== undefined && baseVersion !== status.version) {
      return { kind: "refused", resultName: "DOMAIN_CONFLICT", status };
    }
    if (state === FAILURE_DOMAIN_STATE.IN) {
      return await this.#takeIn(failureDomain, status.version);
    }
    return await this.#takeOut(failureDomain);
  }

  /** Out only restricts work, so it is repeated above the version of any newer in and wins. */
  async #takeOut(failureDomain: FailureDomainName): Promise<ChangeOutcome> {
    for (let rebases = 0; rebases < MAXIMUM_REBASES; rebases++) {
      this.#records.applyOut(failureDomain);
      this.#announcer.announce(this.get(failureDomain));
      await Promise.all([
        this.#records.makeDurable(failureDomain),
        this.#announcer.waitForAll(failureDomain),
      ]);
      if (this.get(failureDomain).state === FAILURE_DOMAIN_STATE.OUT) break;
    }
    const status = this.get(failureDomain);
    if (status.state === FAILURE_DOMAIN_STATE.OUT) {
      return this.#report(failureDomain);
    }
    return { kind: "refused", resultName: "DOMAIN_CONFLICT", status };
  }

  /** In permits work again, so it is in force only once it is stored in the table service. */
  async #takeIn(
    failureDomain: FailureDomainName,
    baseVersion: number,
  ): Promise<ChangeOutcome> {
    if (!await this.#records.refresh(failureDomain)) {
      return { kind: "refused", resultName: "TABLE_UNAVAILABLE" };
    }
    const status = this.get(failureDomain);
    if (status.version !== baseVersion) {
      return { kind: "refused", resultName: "DOMAIN_CONFLICT", status };
    }
    if (status.state === FAILURE_DOMAIN_STATE.OUT) {
      const refused = await this.#writeIn(failureDomain, baseVersion + 1);
      if (refused !== undefined) return refused;
    }
    this.#announcer.announce(this.get(failureDomain));
    await this.#announcer.waitForAll(failureDomain);
    const present = this.get(failureDomain);
    if (present.state === FAILURE_DOMAIN_STATE.IN) {
      return this.#report(failureDomain);
    }
    return { kind: "refused", resultName: "DOMAIN_CONFLICT", status: present };
  }

  async #writeIn(
    failureDomain: FailureDomainName,
    version: number,
  ): Promise<ChangeOutcome | undefined> {
    const outcome = await this.#records.write(failureDomain, {
      state: FAILURE_DOMAIN_STATE.IN,
      version,
    });
    switch (outcome.kind) {
      case "committed":
        return undefined;
      case "conflict": {
        const status = this.get(failureDomain);
        return { kind: "refused", resultName: "DOMAIN_CONFLICT", status };
      }
      case "unavailable": {
        const resultName = getUnavailableResult(outcome.effect);
        return { kind: "refused", resultName };
      }
    }
  }

  #report(failureDomain: FailureDomainName): ChangeOutcome {
    const { context, membership, getOwner } = this.#options;
    const inForceEntries = [
      context.identity.entry,
      ...this.#announcer.listAcknowledged(failureDomain),
    ];
    const owner = getOwner(failureDomain);
    const members = membership.list();
    const status = this.get(failureDomain);
    return {
      kind: "changed",
      status,
      durable: !status.provisional,
      inForceEntries,
      registeredEntries: members.length,
      ownerAcknowledged: owner !== undefined && inForceEntries.includes(owner),
      binding: !status.provisional || this.#options.isMembershipNewest() &&
          members.every(({ entry }) => inForceEntries.includes(entry)),
    };
  }

  #applySnapshot(snapshot: RowSnapshot): void {
    for (const failureDomain of this.#options.listDeclared()) {
      const key = getDomainKey(failureDomain);
      if (!snapshot.has(key)) continue;
      this.#records.applyRow(failureDomain, snapshot.get(key));
    }
  }

  #onChanged(status: FailureDomainStatus): void {
    const { context } = this.#options;
    const { failureDomain, version, provisional } = status;
    const jitterMs = context.random.next() * DOMAIN_WRITE_JITTER_MS;
    this.#durableDueMs.set(failureDomain, context.clock.nowMs() + jitterMs);
    context.events.emit(
      `domain.${status.state}`,
      { failureDomain, version },
      provisional ? "provisional" : "durable",
    );
    this.#changes.next(status);
  }

  #writeProvisional(): void {
    const nowMs = this.#options.context.clock.nowMs();
    for (const { failureDomain } of this.#records.listProvisional()) {
      const dueMs = this.#durableDueMs.get(failureDomain) ?? 0;
      if (nowMs >= dueMs) void this.#records.makeDurable(failureDomain);
    }
  }
}
