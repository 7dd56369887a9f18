/**
 * Writes that take ownership of a failure domain. Such a write is unsettled while its answer is
 * awaited or when the answer was lost, so that its effect is not known.
 */
import type { FailureDomainName } from "@coltsfootpond/common";
import {
  type PrioritisedTablePort,
  type TableRow,
  WRITE_PRIORITY,
} from "@coltsfootpond/ports";
import type { FailureDomainController } from "../failure_domains/failure_domain_controller.ts";
import { getDomainKey, getOwnerKey, type OwnerRow } from "../rows.ts";
import {
  createUnchangedCondition,
  toJsonValue,
  transactChange,
} from "../state/rows_json.ts";
import type { EntryContext } from "../types.ts";
import { grantLease, type OwnershipLease } from "./decisions.ts";
import type { ObservedOwner } from "./owner_observations.ts";

export interface TakeoversOptions {
  readonly context: EntryContext;
  readonly table: PrioritisedTablePort;
  readonly failureDomains: FailureDomainController;
}

/** The lease and the stored owner row of a failure domain just taken. */
export interface TakenLease {
  readonly lease: OwnershipLease;
  readonly tableRow: TableRow;
}

export class Takeovers {
  readonly #options: TakeoversOptions;
  /**
   * The failure domains with an unsettled write, and when the write timed out without an answer;
   * undefined while it is in progress.
   */
  readonly #unsettled = new Map<FailureDomainName, number | undefined>();

  private constructor(options: TakeoversOptions) {
    this.#options = options;
  }

  static create(options: TakeoversOptions): Takeovers {
    return new Takeovers(options);
  }

  /** Whether the write of any failure domain is unsettled. */
  hasUnsettledWrite(): boolean {
    return this.#unsettled.size > 0;
  }

  isUnsettled(failureDomain: FailureDomainName): boolean {
    return this.#unsettled.has(failureDomain);
  }

  /**
   * Called after a read of the owner row. A read sent after the write timed out shows whether the
   * write took effect, so the write is no longer unsettled.
   */
  settle(failureDomain: FailureDomainName, readStartedMs: number): void {
    const timedOutMs = this.#unsettled.get(failureDomain);
    if (timedOutMs === undefined || readStartedMs < timedOutMs) return;
    this.#unsettled.delete(failureDomain);
  }

  /**
   * Writes this entry as the owner, provided that the owner row and the failure domain's record are
   * unchanged. Undefined when the failure domain was not taken or the write is unsettled.
   */
  async take(
    failureDomain: FailureDomainName,
    epoch: number,
    owner: ObservedOwner,
  ): Promise<TakenLease | undefined> {
    const { context, table, failureDomains } = this.#options;
    this.#unsettled.set(failureDomain, undefined);
    const { entry, incarnation } = context.identity;
    const beat = 0;
    const row: OwnerRow = { entry, incarnation, epoch, beat, released: false };
    const key = getOwnerKey(failureDomain);
    const writtenMs = context.clock.nowMs();
    const outcome = await transactChange(table, {
      conditions: [
        createUnchangedCondition(key, owner.tableRow),
        failureDomains.createCondition(failureDomain),
      ],
      writes: [{ kind: "put", key, value: toJsonValue(row) }],
    }, WRITE_PRIORITY.OWNERSHIP);
    if (outcome.kind === "unavailable" && outcome.effect === "lost") {
      this.#unsettled.set(failureDomain, context.clock.nowMs());
      return undefined;
    }
    this.#unsettled.delete(failureDomain);
    if (outcome.kind === "unavailable") return undefined;
    const tableRow = outcome.rows.find((one) => one.key === key);
    if (outcome.kind === "committed" && tableRow !== undefined) {
      return { lease: grantLease(epoch, writtenMs), tableRow };
    }
    const domainKey = getDomainKey(failureDomain);
    const domainRow = outcome.rows.find((one) => one.key === domainKey);
    failureDomains.applyRow(failureDomain, domainRow);
    return undefined;
  }
}
