/** Sends the planned requests through the balancer and records what each caller receives. */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { RESULT, RESULT_CLASS, type ResultClass } from "@coltsfootpond/common";
import {
  EntryClient,
  type EntryOutcome,
  type EntryRequest,
  readProblem,
} from "../../apps/coltsfootpond/entry_client.ts";
import { getOrganisationToken } from "./example.ts";
import type { PlannedRequest } from "./load_plan.ts";

const EXCHANGE_TIMEOUT_MS = 30_000;
const PREFERRED_WAIT_SECONDS = 5;
const POLL_PERIOD_MS = 250;
const STATUS_ACCEPTED = 202;

/** A connection that ended before its answer. Times are from the start of the load generator. */
export interface LostConnection {
  readonly requestId: string;
  readonly method: string;
  readonly sentMs: number;
  readonly lostMs: number;
  readonly reason: string;
}

/** What the caller of one request has received. Times are from the start of the load generator. */
export interface RequestRecord {
  readonly planned: PlannedRequest;
  readonly sentMs: number;
  endedMs: number | undefined;
  class: ResultClass;
  code: number | undefined;
  answer: Buffer | undefined;
  cancelSent: boolean;
  /** How often it was sent again because a lookup did not find it. */
  resendCount: number;
}

/** Codes of a lookup that are the result of the job; other codes are about the lookup itself. */
const FINAL_JOB_CODES: ReadonlySet<number> = new Set([
  RESULT.SHAPE_NEVER_FITS.code,
  RESULT.JOB_FAILED.code,
  RESULT.JOB_FAILED_REPEATEDLY.code,
  RESULT.JOB_OVERRAN.code,
  RESULT.JOB_CANCELLED.code,
  RESULT.JOB_INTERRUPTED.code,
]);

function isUnknownRequest(outcome: EntryOutcome): boolean {
  if (outcome.kind !== "response") return false;
  const problem = readProblem(outcome.response);
  return problem?.code === RESULT.UNKNOWN_REQUEST.code;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Sends one load plan through the balancer, as its callers would. */
export class LoadGenerator {
  readonly records: RequestRecord[] = [];
  readonly lost: LostConnection[] = [];
  readonly #port: number;
  readonly #startMs = performance.now();
  #stopped = false;

  private constructor(balancerPort: number) {
    this.#port = balancerPort;
  }

  static create(balancerPort: number): LoadGenerator {
    return new LoadGenerator(balancerPort);
  }

  /** Time since the start of the load generator. */
  nowMs(): number {
    return performance.now() - this.#startMs;
  }

  /** Stops sending requests and looking up results; requests without a result stay `unknown`. */
  stop(): void {
    this.#stopped = true;
  }

  /** Resolves when every request has ended or `stop` was called. */
  async run(plan: readonly PlannedRequest[]): Promise<void> {
    const pending: Promise<void>[] = [];
    for (const planned of plan) {
      await pause(Math.max(0, planned.atMs - this.nowMs()));
      if (this.#stopped) break;
      pending.push(this.#runRequest(planned));
    }
    await Promise.all(pending);
  }

  async #runRequest(planned: PlannedRequest): Promise<void> {
    const record: RequestRecord = {
      planned,
      sentMs: this.nowMs(),
      endedMs: undefined,
      class: RESULT_CLASS.UNKNOWN,
      code: undefined,
      answer: undefined,
      cancelSent: false,
      resendCount: 0,
    };
    this.records.push(record);
    if (planned.cancelAfterMs !== undefined) void this.#cancelLater(record);
    const outcome = await this.#submit(record);
    if (this.#recordSubmission(record, outcome)) return;
    await this.#lookUpUntilEnded(record);
  }

  #submit({ planned }: RequestRecord): Promise<EntryOutcome> {
    const { service, requestId, body } = planned;
    return this.#send(planned, {
      method: "POST",
      path: `/v1/services/${service.name}/requests`,
      headers: {
        "content-type": "application/json",
        "idempotency-key": requestId,
        prefer: `wait=${PREFERRED_WAIT_SECONDS}`,
      },
      body: Buffer.from(body),
    });
  }

  /** Returns whether the request has ended; otherwise its result has to be looked up. */
  #recordSubmission(record: RequestRecord, outcome: EntryOutcome): boolean {
    if (outcome.kind === "refused") {
      this.#endRequest(record, RESULT_CLASS.NOT_RUN, undefined);
      return true;
    }
    if (outcome.kind === "lost") return false;
    const problem = readProblem(outcome.response);
    if (problem === undefined) return this.#recordAnswer(record, outcome);
    if (
      problem.class === RESULT_CLASS.UNKNOWN &&
      problem.code !== RESULT.JOB_INTERRUPTED.code
    ) {
      record.code = problem.code;
      return false;
    }
    this.#endRequest(record, problem.class, problem.code);
    return true;
  }

  #recordAnswer(record: RequestRecord, outcome: EntryOutcome): boolean {
    if (outcome.kind !== "response") return false;
    const { status, body } = outcome.response;
    if (status === STATUS_ACCEPTED) return false;
    record.answer = body;
    this.#endRequest(record, RESULT_CLASS.ANSWERED, RESULT.ANSWERED.code);
    return true;
  }

  /** Polls for the result of the request; sends it again under its id when it is not found. */
  async #lookUpUntilEnded(record: RequestRecord): Promise<void> {
    while (!this.#stopped) {
      const outcome = await this.#send(record.planned, {
        method: "GET",
        path: `/v1/requests/${record.planned.requestId}`,
        headers: { prefer: `wait=${PREFERRED_WAIT_SECONDS}` },
      });
      if (this.#recordLookup(record, outcome)) return;
      if (isUnknownRequest(outcome) && await this.#resend(record)) return;
      await pause(POLL_PERIOD_MS);
    }
  }

  /**
   * Returns whether the request has ended. `not_run` for a repeated sending is not final, since an
   * earlier one may still run.
   */
  async #resend(record: RequestRecord): Promise<boolean> {
    record.resendCount += 1;
    const outcome = await this.#submit(record);
    if (outcome.kind !== "response") return false;
    const problem = readProblem(outcome.response);
    if (problem === undefined) return this.#recordAnswer(record, outcome);
    record.code = problem.code;
    if (problem.class === RESULT_CLASS.NOT_RUN) return false;
    this.#endRequest(record, problem.class, problem.code);
    return true;
  }

  /**
   * Returns whether the request has ended. For a call, any problem except that the request is not
   * found ends it as `unknown`.
   */
  #recordLookup(record: RequestRecord, outcome: EntryOutcome): boolean {
    if (outcome.kind !== "response") return false;
    const problem = readProblem(outcome.response);
    if (problem === undefined) return this.#recordAnswer(record, outcome);
    if (isUnknownRequest(outcome)) return false;
    if (record.planned.service.kind === "call") {
      this.#endRequest(record, RESULT_CLASS.UNKNOWN, problem.code);
      return true;
    }
    if (!FINAL_JOB_CODES.has(problem.code)) return false;
    this.#endRequest(record, problem.class, problem.code);
    return true;
  }

  async #cancelLater(record: RequestRecord): Promise<void> {
    await pause(record.planned.cancelAfterMs ?? 0);
    record.cancelSent = true;
    await this.#send(record.planned, {
      method: "DELETE",
      path: `/v1/requests/${record.planned.requestId}`,
    });
  }

  #endRequest(
    record: RequestRecord,
    resultClass: ResultClass,
    code: number | undefined,
  ): void {
    record.class = resultClass;
    record.code = code;
    record.endedMs = this.nowMs();
  }

  async #send(
    planned: PlannedRequest,
    request: EntryRequest,
  ): Promise<EntryOutcome> {
    const client = EntryClient.create({
      entries: [{ host: "127.0.0.1", port: this.#port }],
      token: getOrganisationToken(planned.organisation.name),
      timeoutMs: EXCHANGE_TIMEOUT_MS,
      nowMs: () => this.nowMs(),
    });
    const sentMs = this.nowMs();
    const outcome = await client.send(request);
    if (outcome.kind === "lost") {
      this.lost.push({
        requestId: planned.requestId,
        method: request.method,
        sentMs,
        lostMs: this.nowMs(),
        reason: outcome.reason,
      });
    }
    return outcome;
  }
}
