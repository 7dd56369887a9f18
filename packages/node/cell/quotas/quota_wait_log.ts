/** Logs which units wait for the quota of their organisation: once for each wait and reason. */
import { isWithinQuota } from "@coltsfootpond/policy";
import type { QuotaWait } from "@coltsfootpond/policy";
import { describeUnit, type Unit } from "../live_job.ts";
import type { CellLog } from "../log.ts";

const REASON = {
  USED: "the quota is used",
  TOO_WIDE: "the unit is wider than the quota",
} as const;

export class QuotaWaitLog {
  readonly #log: CellLog;
  /** The reason and the quota that were logged last for a unit that waits. */
  readonly #logged = new WeakMap<Unit, string>();

  private constructor(log: CellLog) {
    this.#log = log;
  }

  static create(log: CellLog): QuotaWaitLog {
    return new QuotaWaitLog(log);
  }

  /** Takes note of the units that a round has held back. */
  recordWaits(
    waits: readonly QuotaWait<Unit>[],
    declaredVersion: number,
  ): void {
    for (const { unit, organisation, usage, requirement, quota } of waits) {
      const reason = isWithinQuota(requirement, quota)
        ? REASON.USED
        : REASON.TOO_WIDE;
      const text = JSON.stringify([reason, quota]);
      if (this.#logged.get(unit) === text) continue;
      this.#logged.set(unit, text);
      this.#log.info("unit.waits_for_quota", {
        unit: describeUnit(unit),
        organisation,
        reason,
        usage,
        requirement,
        quota,
        declaredVersion,
      });
    }
  }

  /** A later wait of the unit is logged again. */
  recordStart(unit: Unit): void {
    this.#logged.delete(unit);
  }
}
