/** What a task run counts as in the usage of organisations. */
import type { OrganisationName } from "@coltsfootpond/common";
import type { CellResources, TaskName } from "@coltsfootpond/policy";
import { type LiveJob, parseTaskName } from "../live_job.ts";
import { jobKey } from "../rows.ts";
import { readJobRow } from "../state_rows/row_readers.ts";
import type { TableFollower } from "../table_follower.ts";

/**
 * `known`: the whole requirement of the task, counted against the job's organisation; undefined on
 * public queues. `unsized`: a stray run of a job that has ended, whose row no longer has the
 * requirement. `unknown`: a stray run of a job without a readable row, which may be any
 * organisation's.
 */
export type RunAccount =
  | {
    readonly kind: "known";
    readonly organisation: OrganisationName | undefined;
    readonly requirement: CellResources;
  }
  | {
    readonly kind: "unsized";
    readonly organisation: OrganisationName | undefined;
  }
  | { readonly kind: "unknown" };

/** The account of a run of a live job. */
export function createAccount(
  { spec: { organisation } }: Pick<LiveJob, "spec">,
  { need }: { readonly need: CellResources },
): RunAccount {
  return { kind: "known", organisation, requirement: need };
}

/** The account of a stray run whose job is not live. */
export function findAccountOfEnded(
  task: TaskName,
  follower: Pick<TableFollower, "get" | "unreadable">,
): RunAccount {
  const name = parseTaskName(task);
  const row = name &&
    readJobRow(follower, name.jobId, follower.get(jobKey(name.jobId)));
  switch (row?.kind) {
    case "live": {
      const step = name && row.spec.steps[name.step];
      if (step !== undefined) return createAccount(row, step);
      return { kind: "unsized", organisation: row.spec.organisation };
    }
    case "ended":
      return { kind: "unsized", organisation: row.organisation };
    case "barred":
    case "unreadable":
    case undefined:
      return { kind: "unknown" };
  }
}
