/**
 * The durable records of keyed calls. A non-idempotent call claims its row before it is sent, so no
 * resend through any entry can run it a second time; only the holder of the claim moves the row on,
 * by compare-and-set on the version that it wrote.
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
import { RECORD_PATIENCE_MS, TABLE_PATIENCE_MS } from "./constants.ts";
import { digestBody } from "./digest_body.ts";
import type { CallAnswer } from "./types.ts";

export type CallRow = Extract<RequestRow, { readonly kind: "call" }>;

/** What identifies a keyed call. */
export interface CallKey {
  readonly organisation: OrganisationName;
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly bodyDigest: Digest;
}

/** The right to run a keyed call; only its holder writes the row on. */
export interface CallClaim {
  readonly key: string;
  readonly version: number;
  readonly row: CallRow;
}

export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly claim: CallClaim }
  /** Another send of the same request holds or held the claim. */
  | { readonly kind: "present"; readonly row: CallRow }
  /** The id stands for another request. */
  | { readonly kind: "conflict" }
  | { readonly kind: "unavailable" };

export type RequestRowLookup =
  | { readonly kind: "found"; readonly row: RequestRow }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable" };

export type AnswerLookup =
  | { readonly kind: "found"; readonly answer: CallAnswer }
  | { readonly kind: "unavailable" };

/** Answers go ahead of other writes while the platform is short of capacity. */
const RECORD_OPTIONS: PrioritisedCallOptions = {
  timeoutMs: RECORD_PATIENCE_MS,
  rank: WRITE_PRIORITY.ANSWER,
};

export interface CallRecordsOptions {
  readonly table: TablePort;
  readonly objects: ObjectPort;
}

function toRow(tableRow: TableRow): RequestRow {
  return tableRow.value as unknown as RequestRow;
}

function isSameCall(row: RequestRow, call: CallKey): row is CallRow {
  return row.kind === "call" && row.service === call.service &&
    row.bodyDigest === call.bodyDigest;
}

export class CallRecords {
  readonly #options: CallRecordsOptions;

  private constructor(options: CallRecordsOptions) {
    this.#options = options;
  }

  static create(options: CallRecordsOptions): CallRecords {
    return new CallRecords(options);
  }

  /** Inserts the row, or takes over one whose call was proven not to have run. */
  async claim(call: CallKey): Promise<ClaimOutcome> {
    const key = getRequestKey(call.organisation, call.requestId);
    const first = await this.#tryClaim(call, { kind: "absent", key });
    if (first.kind !== "conflict") return first.outcome;
    const [present] = first.rows;
    if (present === undefined) return { kind: "unavailable" };
    const row = toRow(present);
    if (!isSameCall(row, call)) return { kind: "conflict" };
    if (row.state !== "not_run") return { kind: "present", row };
    const { version } = present;
    const again = await this.#tryClaim(call, { kind: "version", key, version });
    if (again.kind !== "conflict") return again.outcome;
    const [winner] = again.rows;
    if (winner === undefined) return { kind: "unavailable" };
    const winnerRow = toRow(winner);
    if (!isSameCall(winnerRow, call)) return { kind: "conflict" };
    return { kind: "present", row: winnerRow };
  }

  /** False when the outcome of the write is not known. */
  async settle(
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

  /** Stores the whole answer, then moves the row to `answered`. */
  async recordAnswer(claim: CallClaim, answer: CallAnswer): Promise<boolean> {
    const stored = await this.#storeAnswer(claim.key, answer);
    if (stored === undefined) return false;
    return await this.settle(claim, this.#describeAnswer(answer, stored));
  }

  /** For calls without a claim: the first answer recorded under the id stays. */
  async recordUnclaimed(call: CallKey, answer: CallAnswer): Promise<boolean> {
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
      { timeoutMs: RECORD_PATIENCE_MS },
    );
    if (outcome.kind === "unavailable") return { kind: "unavailable" };
    const [present] = outcome.rows;
    if (present === undefined) return { kind: "absent" };
    return { kind: "found", row: toRow(present) };
  }

  /** The recorded answer; one whose content does not match its digest is never given out. */
  async readAnswer(row: CallRow): Promise<AnswerLookup> {
    if (row.answer === undefined) return { kind: "unavailable" };
    const outcome = await this.#options.objects.get(row.answer.objectKey, {
      timeoutMs: RECORD_PATIENCE_MS,
    });
    const whole = outcome.kind === "found" &&
      outcome.content.byteLength === row.answer.lengthBytes &&
      digestBody(outcome.content) === row.answer.digest;
    if (!whole) return { kind: "unavailable" };
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
    }, { timeoutMs: TABLE_PATIENCE_MS });
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

  /** The row after a write whose answer was lost; its write id tells whose write it was. */
  async #readBack(key: string): Promise<readonly TableRow[]> {
    const outcome = await this.#options.table.read([key], {
      timeoutMs: TABLE_PATIENCE_MS,
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
      timeoutMs: RECORD_PATIENCE_MS,
    });
    if (outcome.kind === "unavailable") return undefined;
    return {
      objectKey,
      lengthBytes: answer.body.byteLength,
      digest: digestBody(answer.body),
    };
  }
}
