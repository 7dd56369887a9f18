/** Computes all tables of `docs/CAPACITY.md` from a capacity report. */
import { createLoadAndFailureTables } from "./load_and_failure_tables.ts";
import { createCosts } from "./evaluate.ts";
import { createUsageTables } from "./usage_tables.ts";
import { createMeasuredTables } from "./measured_tables.ts";
import type { CapacityReport } from "./types.ts";

export const PAGE_PATH = "docs/CAPACITY.md";

/** The tables by the name in their markers. */
export function createTables(
  report: CapacityReport,
): Readonly<Record<string, string>> {
  const costs = createCosts(report);
  return {
    ...createMeasuredTables(report),
    ...createUsageTables(costs),
    ...createLoadAndFailureTables(costs),
  };
}
