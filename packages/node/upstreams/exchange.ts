/**
 * One HTTP/1.1 exchange with a runner, for one attempt. Its outcome states only what is proven: a
 * result of class `not_run` only when no byte was written to an established connection or the
 * runner refused this attempt; an answer only when the reply is complete and has the attempt's id.
 */
import { Buffer } from "node:buffer";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Clock, ResultName, Timer } from "@coltsfootpond/common";
import {
  CONNECT_TIMEOUT_MS,
  MAXIMUM_ANSWER_BYTES,
  MAXIMUM_IDLE_NON_IDEMPOTENT_MS,
  RUN_PATH,
} from "./constants.ts";
import type { RunnerAgent } from "./runner_agent.ts";
import {
  FAILURE_CAUSE,
  type FailureCause,
  type LoadReport,
  type UpstreamOutcome,
  type UpstreamRequest,
} from "./types.ts";

/** The runner's address, its connections, and the clock of the time limits. */
export interface ExchangeTarget {
  readonly host: string;
  readonly port: number;
  readonly agent: RunnerAgent;
  readonly clock: Clock;
}

const HTTP_UNAVAILABLE = 503;
const SERVER_ERROR = 500;
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

function parseReport(incoming: IncomingMessage): LoadReport | undefined {
  const slotsInUse = Number(incoming.headers["x-slots-in-use"] ?? NaN);
  const slots = Number(incoming.headers["x-slots"] ?? NaN);
  if (!Number.isFinite(slotsInUse) || !Number.isFinite(slots)) return undefined;
  return {
    slotsInUse,
    slots,
    leaving: incoming.headers["x-leaving"] === "true",
  };
}

/** Sends one request and completes exactly once. */
class Exchange {
  readonly #target: ExchangeTarget;
  readonly #upstreamRequest: UpstreamRequest;
  readonly #resolve: (outcome: UpstreamOutcome) => void;
  readonly #outgoing: ClientRequest;
  #timer: Timer;
  #connected = false;
  #lastProgressMs: number;
  #report: LoadReport | undefined;
  #completed = false;

  private constructor(
    target: ExchangeTarget,
    upstreamRequest: UpstreamRequest,
    resolve: (outcome: UpstreamOutcome) => void,
  ) {
    this.#target = target;
    this.#upstreamRequest = upstreamRequest;
    this.#resolve = resolve;
    this.#lastProgressMs = target.clock.nowMs();
    this.#outgoing = this.#send();
    this.#timer = this.#startTimer(
      Math.min(CONNECT_TIMEOUT_MS, upstreamRequest.progressTimeoutMs),
    );
  }

  static create(
    target: ExchangeTarget,
    upstreamRequest: UpstreamRequest,
    resolve: (outcome: UpstreamOutcome) => void,
  ): Exchange {
    return new Exchange(target, upstreamRequest, resolve);
  }

  #send(): ClientRequest {
    const { host, port, agent } = this.#target;
    const { headers, body, attemptId, idempotent, signal } =
      this.#upstreamRequest;
    if (!idempotent) agent.prune(MAXIMUM_IDLE_NON_IDEMPOTENT_MS);
    const outgoing = request({
      host,
      port,
      agent,
      method: "POST",
      path: RUN_PATH,
      headers: {
        ...headers,
        "x-attempt-id": attemptId,
        "content-length": body.byteLength,
      },
    });
    outgoing.on("socket", (socket) => {
      agent.recordOpened(outgoing);
      if (!socket.connecting) this.#onConnected();
      else socket.once("connect", () => this.#onConnected());
    });
    outgoing.on("error", (error) => this.#failOnError(error));
    outgoing.on("response", (incoming) => this.#receive(incoming));
    signal?.addEventListener("abort", this.#cancel, { once: true });
    outgoing.end(body);
    return outgoing;
  }

  readonly #cancel = (): void => {
    this.#fail("UPSTREAM_LOST", FAILURE_CAUSE.NONE, "given up by its caller");
  };

  #onConnected(): void {
    this.#connected = true;
    this.#lastProgressMs = this.#target.clock.nowMs();
  }

  #startTimer(delayMs: number): Timer {
    return this.#target.clock.after(delayMs, () => this.#checkProgress());
  }

  #checkProgress(): void {
    const nowMs = this.#target.clock.nowMs();
    const { deadlineMs, progressTimeoutMs } = this.#upstreamRequest;
    if (nowMs >= deadlineMs) {
      this.#fail(
        "UPSTREAM_TIMEOUT",
        FAILURE_CAUSE.NONE,
        "the deadline has passed",
      );
      return;
    }
    const limitMs = this.#connected ? progressTimeoutMs : CONNECT_TIMEOUT_MS;
    const dueMs = Math.min(this.#lastProgressMs + limitMs, deadlineMs);
    if (nowMs < dueMs) {
      this.#timer = this.#startTimer(dueMs - nowMs);
      return;
    }
    this.#fail("UPSTREAM_TIMEOUT", FAILURE_CAUSE.SILENT, "no progress in time");
  }

  #failOnError(error: Error): void {
    this.#fail("UPSTREAM_LOST", FAILURE_CAUSE.FAILURE, error.message);
  }

  #receive(incoming: IncomingMessage): void {
    this.#lastProgressMs = this.#target.clock.nowMs();
    this.#report = parseReport(incoming);
    incoming.on("error", () => this.#failTruncated());
    incoming.on("aborted", () => this.#failTruncated());
    if (incoming.headers["x-attempt-id"] !== this.#upstreamRequest.attemptId) {
      this.#fail(
        "UPSTREAM_MISMATCH",
        FAILURE_CAUSE.FAILURE,
        "the reply belongs to another attempt",
      );
      return;
    }
    const framed = incoming.headers["content-length"] !== undefined ||
      incoming.headers["transfer-encoding"] !== undefined;
    if (!framed) {
      this.#failTruncated();
      return;
    }
    this.#readAnswer(incoming);
  }

  #readAnswer(incoming: IncomingMessage): void {
    const chunks: Buffer[] = [];
    let lengthBytes = 0;
    incoming.on("data", (chunk: Buffer) => {
      this.#lastProgressMs = this.#target.clock.nowMs();
      lengthBytes += chunk.byteLength;
      if (lengthBytes > MAXIMUM_ANSWER_BYTES) this.#failTruncated();
      else chunks.push(chunk);
    });
    incoming.on("end", () => {
      if (!incoming.complete) this.#failTruncated();
      else this.#finish(incoming, Buffer.concat(chunks, lengthBytes));
    });
  }

  #finish(incoming: IncomingMessage, body: Buffer): void {
    const status = incoming.statusCode ?? 0;
    const refused = status === HTTP_UNAVAILABLE &&
      incoming.headers["x-not-run"] === "true";
    if (refused) {
      this.#complete(
        this.#createFailure(
          "UPSTREAM_REFUSED",
          FAILURE_CAUSE.FULL,
          "no free slot",
        ),
      );
    } else if (status >= SERVER_ERROR) {
      this.#complete(this.#createFailure(
        "UPSTREAM_FAILED",
        FAILURE_CAUSE.FAILURE,
        `status ${status}`,
      ));
    } else {
      const contentType = incoming.headers["content-type"] ??
        DEFAULT_CONTENT_TYPE;
      const report = this.#report;
      this.#complete({ kind: "answered", status, contentType, body, report });
    }
  }

  #failTruncated(): void {
    this.#fail(
      "UPSTREAM_TRUNCATED",
      FAILURE_CAUSE.FAILURE,
      "the reply was not whole",
    );
  }

  /** Also closes the connection, because a late reply on it must not be read by another request. */
  #fail(resultName: ResultName, cause: FailureCause, detail: string): void {
    if (this.#completed) return;
    const failure = this.#connected
      ? this.#createFailure(resultName, cause, detail)
      : this.#createUnsentFailure(cause, detail);
    this.#complete(failure);
    this.#outgoing.destroy();
  }

  #createUnsentFailure(cause: FailureCause, detail: string): UpstreamOutcome {
    return cause === FAILURE_CAUSE.NONE
      ? this.#createFailure("DEADLINE_UNREACHABLE", cause, detail)
      : this.#createFailure(
        "UPSTREAM_UNREACHABLE",
        FAILURE_CAUSE.UNREACHABLE,
        detail,
      );
  }

  #createFailure(
    resultName: ResultName,
    cause: FailureCause,
    detail: string,
  ): UpstreamOutcome {
    return { kind: "failed", resultName, cause, detail, report: this.#report };
  }

  #complete(outcome: UpstreamOutcome): void {
    if (this.#completed) return;
    this.#completed = true;
    this.#timer.cancel();
    this.#upstreamRequest.signal?.removeEventListener("abort", this.#cancel);
    this.#resolve(outcome);
  }
}

/** Sends one request to one runner. Called by `Runner.run`; never rejects. */
export function exchangeWithRunner(
  target: ExchangeTarget,
  upstreamRequest: UpstreamRequest,
): Promise<UpstreamOutcome> {
  return new Promise((resolve) => {
    Exchange.create(target, upstreamRequest, resolve);
  });
}
