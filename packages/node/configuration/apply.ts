/**
 * Applies a set of declarations: checks the whole set, stores its files in the object store and
 * replaces the configuration head. Called by `ConfigurationController.apply`.
 */
import type {
  Declarations,
  EntryName,
  ResultName,
} from "@coltsfootpond/common";
import {
  getUnavailableResult,
  type PrioritisedTablePort,
  type TableRow,
  WRITE_PRIORITY,
} from "@coltsfootpond/ports";
import { STATE_CALL_TIMEOUT_MS } from "../constants.ts";
import { CONFIGURATION_HEAD_KEY, type ConfigurationHeadRow } from "../rows.ts";
import {
  createUnchangedCondition,
  readValue,
  toJsonValue,
  transactChange,
} from "../state/rows_json.ts";
import type { ChunkStore } from "./chunk_store.ts";
import type {
  ApplyOutcome,
  ApplyRequest,
  ConfigurationFile,
  ConfigurationProblem,
  ParseOutcome,
} from "./types.ts";

export interface ApplyOptions {
  readonly entry: EntryName;
  readonly table: PrioritisedTablePort;
  readonly chunks: ChunkStore;
  readonly parse: (files: readonly ConfigurationFile[]) => ParseOutcome;
  readonly checkFeasibility: (
    declarations: Declarations,
  ) => readonly ConfigurationProblem[];
}

/** The head is written last, so an apply that is interrupted earlier changes nothing. */
export async function applyConfiguration(
  request: ApplyRequest,
  options: ApplyOptions,
): Promise<ApplyOutcome> {
  const parsed = options.parse(request.files);
  if (parsed.kind === "invalid") {
    return refuse("CONFIGURATION_INVALID", parsed.problems);
  }
  const problems = options.checkFeasibility(parsed.declarations);
  if (problems.length > 0) return refuse("GUARANTEES_INFEASIBLE", problems);
  const digest = await options.chunks.store(request.files);
  if (digest === undefined) return refuse("OBJECTS_UNAVAILABLE");
  const head: ConfigurationHeadRow = {
    version: request.baseVersion + 1,
    digest,
    acceptedBy: options.entry,
  };
  const read = await options.table.read([CONFIGURATION_HEAD_KEY], {
    timeoutMs: STATE_CALL_TIMEOUT_MS,
  });
  if (read.kind === "unavailable") return refuse("TABLE_UNAVAILABLE");
  return await replaceHead(head, read.rows[0], options.table);
}

async function replaceHead(
  head: ConfigurationHeadRow,
  storedRow: TableRow | undefined,
  table: PrioritisedTablePort,
): Promise<ApplyOutcome> {
  const currentHead = storedRow && readValue<ConfigurationHeadRow>(storedRow);
  if ((currentHead?.version ?? 0) !== head.version - 1) {
    return resolveConflict(head, currentHead);
  }
  const outcome = await transactChange(table, {
    conditions: [createUnchangedCondition(CONFIGURATION_HEAD_KEY, storedRow)],
    writes: [{
      kind: "put",
      key: CONFIGURATION_HEAD_KEY,
      value: toJsonValue(head),
    }],
  }, WRITE_PRIORITY.FAILURE_DOMAIN);
  switch (outcome.kind) {
    case "committed":
      return { kind: "accepted", head };
    case "conflict": {
      const row = outcome.rows.find((candidate) =>
        candidate.key === CONFIGURATION_HEAD_KEY
      );
      return resolveConflict(head, row && readValue<ConfigurationHeadRow>(row));
    }
    case "unavailable":
      return refuse(getUnavailableResult(outcome.effect));
  }
}

/** Accepts an apply repeated after a lost answer: the stored head has its version and content. */
function resolveConflict(
  head: ConfigurationHeadRow,
  winner: ConfigurationHeadRow | undefined,
): ApplyOutcome {
  const isSameHead = winner?.version === head.version &&
    winner.digest === head.digest;
  if (isSameHead) return { kind: "accepted", head: winner };
  const resultName = "CONFIGURATION_CONFLICT";
  return { kind: "refused", resultName, problems: [], winner };
}

function refuse(
  resultName: ResultName,
  problems: readonly ConfigurationProblem[] = [],
): ApplyOutcome {
  return { kind: "refused", resultName, problems };
}
