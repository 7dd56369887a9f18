/**
 * The stored records of keyed calls, whose request id the caller chose. A non-idempotent call
 * claims its row before it is sent to a runner, so no resend through any entry can run it a second
 * time. Only the entry with the claim updates the row, by compare-and-set on the version it wrote.
 */
import {
  type AttemptId,
  brandId,
  createUniqueId,
  type Digest,
  type JsonValue,
  type OrganisationName,
  type RequestId,
  type ServiceName,
  type WriteId,
} from "@coltsfootpond/common";
import {
  type ObjectPort,
  type PrioritisedCallOptions,
  type RowCondition,
  type TablePort,
  type TableRow,
  WRITE_PRIORITY,
} from "@coltsfootpond/ports";
import {
  type AnswerReference,
  getRequestKey,
  type RequestRow,
} from "../rows.ts";
import { RECORD_TIMEOUT_MS, TABLE_TIMEOUT_MS } from "./constants.ts";
import { digestBody } from "./digest_body.ts";
import type { CallAnswer } from "./types.ts";

/** The row of a keyed call. */
export type CallRow = Extract<RequestRow, { readonly kind: "call" }>;

/** Identifies a keyed call; a resend has the same service and body. */
export interface CallKey {
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly bodyDigest: Digest;
}

/** The exclusive right to run a keyed call, and the row version that this entry wrote. */
export interface CallClaim {
  readonly key: string;
  readonly version: number;
  readonly row: CallRow;
}

/** The claim, or why the call may not be run now. */
export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly claim: CallClaim }
  /** Another send of the same request has claimed the row. */
  | { readonly kind: "present"; readonly row: CallRow }
  /** The request id belongs to a request for another service or with another body. */
  | { readonly kind: "conflict" }
  | { readonly kind: "unavailable" };

/** A stored request row, of a call or a job. */
export type RequestRowLookup =
  | { readonly kind: "found"; readonly row: RequestRow }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable" };

export type AnswerLookup =
  | { readonly kind: "found"; readonly answer: CallAnswer }
  | { readonly kind: "unavailable" };

/** Answers precede other writes while the write rate of the table service is limited. */
const RECORD_OPTIONS: PrioritisedCallOptions = {
  timeoutMs: RECORD_TIMEOUT_MS,
  rank: WRITE_PRIORITY.ANSWER,
};

export interface CallRecordsOptions {
  readonly table: TablePort;
  readonly objects: ObjectPort;
}

function getRequestRow(tableRow: TableRow): RequestRow {
  return tableRow.value as unknown as RequestRow;
}

function isSameCall(row: RequestRow, call: CallKey): row is CallRow {
  return row.kind === "call" && row.service === call.service &&
    row.bodyDigest === call.bodyDigest;
}

/** Reads and writes the `request/` rows of calls and the answers in the object store. */
export class CallRecords {
  readonly #options: CallRecordsOptions;

  private constructor(options: CallRecordsOptions) {
    this.#options = options;
  }

  static create(options: CallRecordsOptions): CallRecords {
    return new CallRecords(options);
  }

  /** Inserts the row, or claims an existing one whose call is proven not to have run. */
  async claim(call: CallKey): Promise<ClaimOutcome> {
    const key = getRequestKey(call.organisation, call.requestId);
    const firstClaim = await this.#tryClaim(call, { kind: "absent", key });
    if (firstClaim.kind !== "conflict") return firstClaim.outcome;
    const [present] = firstClaim.rows;
    if (present === undefined) return { kind: "unavailable" };
    const row = getRequestRow(present);
    if (!isSameCall(row, call)) return { kind: "conflict" };
    if (row.state !== "not_run") return { kind: "present", row };
    const { version } = present;
    const secondClaim = await this.#tryClaim(call, {
      kind: "version",
      key,
      version,
    });
    if (secondClaim.kind !== "conflict") return secondClaim.outcome;
    const [winner] = secondClaim.rows;
    if (winner === undefined) return { kind: "unavailable" };
    const winnerRow = getRequestRow(winner);
    if (!isSameCall(winnerRow, call)) return { kind: "conflict" };
    return { kind: "present", row: winnerRow };
  }

  /** Stores how the claimed call ended. Returns false when the write must be repeated. */
  async recordOutcome(
    claim: CallClaim,
    change: Partial<CallRow>,
  ): Promise<boolean> {
    const { key, version, row } = claim;
    const outcome = await this.#options.table.transact({
      writeId: brandId<WriteId>(createUniqueId()),
      conditions: [{ kind: "version", key, version }],
      writes: [{
        kind: "put",
        key,
        value: { ...row, ...change } as unknown as JsonValue,
      }],
    }, RECORD_OPTIONS);
    return outcome.kind !== "unavailable";
  }

  /** Stores the answer in the object store, then sets the row to `answered`. */
  async recordAnswer(claim: CallClaim, answer: CallAnswer): Promise<boolean> {
    const stored = await this.#storeAnswer(claim.key, answer);
    if (stored === undefined) return false;
    return await this.recordOutcome(
      claim,
      this.#describeAnswer(answer, stored),
    );
  }

  /** For calls without a claim: only the first answer under the request id is recorded. */
  async recordUnclaimedAnswer(
    call: CallKey,
    answer: CallAnswer,
  ): Promise<boolean> {
    const key = getRequestKey(call.organisation, call.requestId);
    const stored = await this.#storeAnswer(key, answer);
    if (stored === undefined) return false;
    const row = {
      ...this.#createRow(call, answer.attemptId),
      ...this.#describeAnswer(answer, stored),
    };
    const outcome = await this.#options.table.transact({
      writeId: brandId<WriteId>(createUniqueId()),
      conditions: [{ kind: "absent", key }],
      writes: [{ kind: "put", key, value: row as unknown as JsonValue }],
    }, RECORD_OPTIONS);
    return outcome.kind !== "unavailable";
  }

  async find(
    organisation: OrganisationName,
    requestId: RequestId,
  ): Promise<RequestRowLookup> {
    const outcome = await this.#options.table.read(
      [getRequestKey(organisation, requestId)],
      { timeoutMs: RECORD_TIMEOUT_MS },
    );
    if (outcome.kind === "unavailable") return { kind: "unavailable" };
    const [present] = outcome.rows;
    if (present === undefined) return { kind: "absent" };
    return { kind: "found", row: getRequestRow(present) };
  }

  /** Reads the recorded answer; `unavailable` also when its length or digest does not match. */
  async readAnswer(row: CallRow): Promise<AnswerLookup> {
    if (row.answer === undefined) return { kind: "unavailable" };
    const outcome = await this.#options.objects.get(row.answer.objectKey, {
      timeoutMs: RECORD_TIMEOUT_MS,
    });
    const intact = outcome.kind === "found" &&
      outcome.content.byteLength === row.answer.lengthBytes &&
      digestBody(outcome.content) === row.answer.digest;
    if (!intact) return { kind: "unavailable" };
    const answer: CallAnswer = {
      attemptId: row.attemptId,
      status: row.answerStatus ?? 200,
      contentType: row.answerContentType ?? "application/octet-stream",
      body: outcome.content,
    };
    return { kind: "found", answer };
  }

  async #tryClaim(
    call: CallKey,
    condition: RowCondition,
  ): Promise<
    | { readonly kind: "done"; readonly outcome: ClaimOutcome }
    | { readonly kind: "conflict"; readonly rows: readonly TableRow[] }
  > {
    const { key } = condition;
    const writeId = brandId<WriteId>(createUniqueId());
    const row = this.#createRow(call, brandId<AttemptId>(createUniqueId()));
    const outcome = await this.#options.table.transact({
      writeId,
      conditions: [condition],
      writes: [{ kind: "put", key, value: row as unknown as JsonValue }],
    }, { timeoutMs: TABLE_TIMEOUT_MS });
    const rows = outcome.kind === "unavailable"
      ? await this.#readBack(key)
      : outcome.rows;
    const written = rows.find((candidate) => candidate.writeId === writeId);
    if (written === undefined && outcome.kind === "conflict") return outcome;
    if (written === undefined) {
      return { kind: "done", outcome: { kind: "unavailable" } };
    }
    const claim: CallClaim = { key, version: written.version, row };
    return { kind: "done", outcome: { kind: "claimed", claim } };
  }

  /**
   * Reads the row after an unsettled write, whose answer was lost, so that its effect is not known.
   * The write id of the row identifies the write that succeeded.
   */
  async #readBack(key: string): Promise<readonly TableRow[]> {
    const outcome = await this.#options.table.read([key], {
      timeoutMs: TABLE_TIMEOUT_MS,
    });
    return outcome.kind === "unavailable" ? [] : outcome.rows;
  }

  #createRow(call: CallKey, attemptId: AttemptId): CallRow {
    const { service, bodyDigest } = call;
    return {
      kind: "call",
      service,
      bodyDigest,
      attemptId,
      state: "attempting",
    };
  }

  #describeAnswer(
    answer: CallAnswer,
    stored: AnswerReference,
  ): Partial<CallRow> {
    return {
      state: "answered",
      attemptId: answer.attemptId,
      answer: stored,
      answerStatus: answer.status,
      answerContentType: answer.contentType,
    };
  }

  async #storeAnswer(
    key: string,
    answer: CallAnswer,
  ): Promise<AnswerReference | undefined> {
    const objectKey = `answer/${key}/${answer.attemptId}`;
    const outcome = await this.#options.objects.put(objectKey, answer.body, {
      timeoutMs: RECORD_TIMEOUT_MS,
    });
    if (outcome.kind === "unavailable") return undefined;
    return {
      objectKey,
      lengthBytes: answer.body.byteLength,
      digest: digestBody(answer.body),
    };
  }
}
