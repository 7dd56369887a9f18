/** The tables that `npm run trace:day` prints. */
import type { JobStages } from "./job_stages.ts";
import type { LogLine } from "./log_lines.ts";

const QUANTILES = [0.25, 0.5, 0.75, 0.9, 0.97] as const;
const STAGES = ["toOpenS", "toStartS", "runS", "toStoredS"] as const;
/** Events that tell when nothing was scheduled, and why. */
const DEPENDENCY_EVENTS: ReadonlySet<string> = new Set([
  "entry.started",
  "lease.acquired",
  "lease.lost",
  "lease.released",
  "scheduler.ready",
  "store.direct_lost",
  "store.direct_regained",
]);

/** Quantiles of each stage by priority, in seconds. */
export function formatStages(jobs: readonly JobStages[]): string {
  const header = ["priority", "stage", "jobs", ...QUANTILES.map(String)];
  const rows = listPriorities(jobs).flatMap((priority) => {
    const group = jobs.filter((job) => job.priority === priority);
    return STAGES.map((stage) => {
      const values = group.flatMap((job) => job[stage] ?? []);
      return [
        priority,
        stage,
        values.length,
        ...QUANTILES.map((share) => quantile(values, share)),
      ].join("\t");
    });
  });
  return [header.join("\t"), ...rows].join("\n");
}

/** Evictions of each priority, and the reasons for which runs were ended. */
export function formatStops(
  jobs: readonly JobStages[],
  lines: readonly LogLine[],
): string {
  const evictions = listPriorities(jobs).map((priority) => {
    const group = jobs.filter((job) => job.priority === priority);
    const sum = group.reduce((total, job) => total + job.evictions, 0);
    return `priority ${priority}: ${sum} evictions of ${group.length} jobs`;
  });
  const reasons = countBy(
    lines.filter(({ event }) => event === "unit.closing"),
    ({ fields }) => String(fields.reason),
  );
  return [
    ...evictions,
    ...[...reasons].sort((left, right) => right[1] - left[1]).map((
      [reason, count],
    ) => `${count}\t${reason}`),
  ].join("\n");
}

/** Changes of the lease holder and of the paths to the store; one line a second and event. */
export function formatDependencies(lines: readonly LogLine[]): string {
  const counts = countBy(
    lines.filter(({ event }) => DEPENDENCY_EVENTS.has(event)),
    ({ atS, event }) => `${Math.floor(atS)}\t${event}`,
  );
  return [...counts].map(([key, count]) => `${key}\t${count}`).join("\n");
}

function listPriorities(jobs: readonly JobStages[]): readonly number[] {
  return [...new Set(jobs.map(({ priority }) => priority))].sort();
}

function countBy<Item>(
  items: Iterable<Item>,
  getKey: (item: Item) => string,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    const key = getKey(item);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

function quantile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index]?.toFixed(2) ?? "-";
}
