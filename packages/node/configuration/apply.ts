/** One operator's apply: check the whole set, store its chunks, move the head. */
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

/** The head is moved last, so an apply that is cut before that has changed nothing. */
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
  return await moveHead(head, read.rows[0], options.table);
}

async function moveHead(
  head: ConfigurationHeadRow,
  present: TableRow | undefined,
  table: PrioritisedTablePort,
): Promise<ApplyOutcome> {
  const standing = present && readValue<ConfigurationHeadRow>(present);
  if ((standing?.version ?? 0) !== head.version - 1) {
    return settleConflict(head, standing);
  }
  const outcome = await transactChange(table, {
    conditions: [createUnchangedCondition(CONFIGURATION_HEAD_KEY, present)],
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
      const row = outcome.rows.find((one) =>
        one.key === CONFIGURATION_HEAD_KEY
      );
      return settleConflict(head, row && readValue<ConfigurationHeadRow>(row));
    }
    case "unavailable":
      return refuse(getUnavailableResult(outcome.effect));
  }
}

/** An apply repeated after a lost answer finds its own content standing, and is accepted. */
function settleConflict(
  head: ConfigurationHeadRow,
  winner: ConfigurationHeadRow | undefined,
): ApplyOutcome {
  const isOwn = winner?.version === head.version &&
    winner.digest === head.digest;
  if (isOwn) return { kind: "accepted", head: winner };
  const resultName = "CONFIGURATION_CONFLICT";
  return { kind: "refused", resultName, problems: [], winner };
}

function refuse(
  resultName: ResultName,
  problems: readonly ConfigurationProblem[] = [],
): ApplyOutcome {
  return { kind: "refused", resultName, problems };
}
