/**
 * Evictions of an organisation's own work for a unit that its quota holds back. An organisation's
 * ordinary work may fill its quota; without evictions, its urgent jobs would wait for ends of that
 * work although their guarantee, which is within the quota, is free.
 */
import type { RunningUnit } from "../eviction.ts";
import type { CellResources } from "../types.ts";
import {
  computeRequirement,
  isWithinQuota,
  multiplyResources,
  NO_USAGE,
} from "./organisation_usage.ts";
import { addCellResources, subtractCellResources } from "../fit.ts";
import type { QuotaLedger, QuotaRequest } from "./quota_ledger.ts";

/** Units to evict; none while enough is being released already. */
export interface QuotaReclaim<Unit> {
  readonly victims: readonly RunningUnit<Unit>[];
  readonly cost: number;
}

export interface QuotaReclaimInput<Unit> {
  /** Units that run, or that this round places. */
  readonly units: readonly RunningUnit<Unit>[];
  /** Units that this round evicts; they count as running until they are gone. */
  readonly evicted: ReadonlySet<RunningUnit<Unit>>;
  readonly ledger: QuotaLedger;
}

/**
 * The cheapest units of the request's organisation without which the request is within the quota;
 * undefined if evictions do not achieve this.
 */
export function planQuotaReclaim<Unit>(
  request: QuotaRequest,
  { units, evicted, ledger }: QuotaReclaimInput<Unit>,
): QuotaReclaim<Unit> | undefined {
  const { organisation } = request;
  if (organisation === undefined) return undefined;
  const quota = ledger.getQuota(organisation);
  const own = units.filter((unit) => unit.organisation === organisation);
  const isReleasing = (unit: RunningUnit<Unit>) =>
    unit.isClosing === true || evicted.has(unit);
  const released = own.filter(isReleasing).map(getUsage)
    .reduce(addCellResources, NO_USAGE);
  let total = subtractCellResources(
    addCellResources(
      ledger.getUsage(organisation),
      computeRequirement(request),
    ),
    released,
  );
  const candidates = own.filter((unit) =>
    unit.isEvictable && !isReleasing(unit)
  ).sort((left, right) => left.evictionCost - right.evictionCost);
  const victims: RunningUnit<Unit>[] = [];
  for (const unit of candidates) {
    if (isWithinQuota(total, quota)) break;
    victims.push(unit);
    total = subtractCellResources(total, getUsage(unit));
  }
  if (!isWithinQuota(total, quota)) return undefined;
  const needed = dropNeedless(victims, total, quota);
  const cost = needed.reduce((sum, unit) => sum + unit.evictionCost, 0);
  return { victims: needed, cost };
}

/** Leaves out victims, the most expensive first, without which the rest is enough. */
function dropNeedless<Unit>(
  victims: readonly RunningUnit<Unit>[],
  totalWithout: CellResources,
  quota: CellResources | undefined,
): readonly RunningUnit<Unit>[] {
  let total = totalWithout;
  const needed: RunningUnit<Unit>[] = [];
  for (const unit of [...victims].reverse()) {
    const totalWith = addCellResources(total, getUsage(unit));
    if (isWithinQuota(totalWith, quota)) total = totalWith;
    else needed.push(unit);
  }
  return needed;
}

/** What the tasks of the unit that still run count against the quota. */
function getUsage<Unit>({ step, workers }: RunningUnit<Unit>): CellResources {
  return multiplyResources(step.need, workers.length);
}
