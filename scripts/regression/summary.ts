/** The table and the verdict of a regression run. */
import type {
  PlayedDay,
  SiteResult,
} from "../../platform/benchmark/journal_entry.ts";

/** The result of one site of the list; `missing` when the bench left no journal entry. */
export type SiteOutcome =
  | { readonly kind: "scored"; readonly result: SiteResult }
  | { readonly kind: "missing"; readonly file: string };

const COMMIT_LENGTH = 7;

/** Why the run fails, one line each; empty when every day passed the gate and broke no rule. */
export function listFailures(
  outcomes: readonly SiteOutcome[],
): readonly string[] {
  return outcomes.flatMap((outcome) => {
    if (outcome.kind === "missing") return [`${outcome.file}: not scored`];
    const { site, error, days } = outcome.result;
    const failures = days.flatMap((day) =>
      describeFailures(day).map((failure) => `${site} ${day.name}: ${failure}`)
    );
    if (error !== undefined) failures.push(`${site}: ${error}`);
    if (days.length === 0) failures.push(`${site}: no day was played`);
    return failures;
  });
}

function describeFailures(day: PlayedDay): readonly string[] {
  const failures: string[] = [];
  if (day.brokenRules.length > 0) {
    failures.push(`broken rules: ${day.brokenRules.join(", ")}`);
  }
  if (!day.passedGate) failures.push("gate missed");
  return failures;
}

/** A Markdown table with one row per played day. */
export function formatTable(outcomes: readonly SiteOutcome[]): string {
  const header = "| site | commit | day | worth | served | refused | failed |";
  const rule = "| --- | --- | --- | --- | --- | --- | --- |";
  const rows = outcomes.flatMap((outcome) =>
    outcome.kind === "missing" ? [] : outcome.result.days.map((day) => {
      const { site, commit, isDirty } = outcome.result;
      const source = commit.slice(0, COMMIT_LENGTH) + (isDirty ? "+" : "");
      const figures = [day.worth, day.served, day.refused, day.failed].map((
        figure,
      ) => figure.toFixed(3));
      return `| ${[site, source, day.name, ...figures].join(" | ")} |`;
    })
  );
  return [header, rule, ...rows].join("\n");
}
