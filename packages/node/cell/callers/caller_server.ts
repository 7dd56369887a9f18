/** HTTP servers for callers and for the load balancer's readiness check. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@coltsfootpond/common";
import type { CallerCodec, HostPort } from "@coltsfootpond/ports";
import type {
  CallerAnswer,
  CallerFilter,
  CallerRequest,
} from "./caller_filters.ts";
import { BACKGROUND_ACTIVITY } from "../background/activities.ts";
import {
  guardRequestListener,
  type RequestListener,
} from "../background/guarded_request_listener.ts";
import { BoundedServer } from "../../connections/bounded_server.ts";
import type { CloseReason } from "../../connections/close_reasons.ts";
import {
  type CloseReport,
  CloseReports,
} from "../../connections/close_reports.ts";
import {
  CHECK_LIMITS,
  type ConnectionLimits,
} from "../../connections/connection_limits.ts";
import {
  type ConnectionTimeouts,
  type ConnectionUsage,
  INTERNAL_TIMEOUTS,
} from "../../connections/connection_pool.ts";
import { getBoundPort, listenOn } from "../listen.ts";
import type { CellLog, LogFields } from "../log.ts";
import type { CellMeters } from "../meters/cell_meters.ts";

const INTERNAL_STATUS = 500;
const READY_STATUS = 200;
const NOT_READY_STATUS = 503;
const MALFORMED_STATUS = 400;
const DRAIN_CHECK_PERIOD_MS = 20;
/** Until a declared state gives others. */
const INITIAL_TIMEOUTS = { headMs: 3_000, bodyMs: 15_000, idleMs: 15_000 };
const { SERVE_CALLER } = BACKGROUND_ACTIVITY;

export interface CallerServerOptions {
  readonly address: HostPort;
  readonly readiness: HostPort;
  /** Of the connections of callers. */
  readonly limits: ConnectionLimits;
  readonly codec: CallerCodec;
  readonly filters: readonly CallerFilter[];
  readonly clock: Clock;
  readonly log: CellLog;
  readonly isReady: () => boolean;
  readonly meters: Pick<CellMeters, "noteCall" | "noteClosedConnection">;
}

/** Passes callers' requests through the filters and sends the answers, until closed. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #callerServer: BoundedServer;
  readonly #readinessServer: BoundedServer;
  #isClosing = false;

  private constructor(options: CallerServerOptions) {
    this.#options = options;
    const { clock, log, meters } = options;
    const closed = CloseReports.create({
      clock,
      count: (reason) => meters.noteClosedConnection(reason),
      onMet: (report) =>
        log.warn("connections.limit_met", this.#describe(report)),
      onOver: (report) =>
        log.info("connections.limit_over", this.#describe(report)),
    });
    const createGuarded = (
      limits: ConnectionLimits,
      timeouts: ConnectionTimeouts,
      listener: RequestListener,
      onClosed?: (reason: CloseReason) => void,
    ) =>
      BoundedServer.create({
        limits,
        timeouts,
        clock,
        listener: guardRequestListener(log, SERVE_CALLER, listener),
        onClosed,
      });
    this.#callerServer = createGuarded(
      options.limits,
      INITIAL_TIMEOUTS,
      (incoming, response) => this.#serve(incoming, response),
      (reason) => closed.note(reason),
    );
    this.#readinessServer = createGuarded(
      CHECK_LIMITS,
      INTERNAL_TIMEOUTS,
      (incoming, response) => {
        incoming.resume();
        response.writeHead(
          options.isReady() ? READY_STATUS : NOT_READY_STATUS,
          { "content-length": 0 },
        );
        response.end();
      },
    );
  }

  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  async listen(): Promise<void> {
    const { address, readiness } = this.#options;
    await Promise.all([
      listenOn(this.#callerServer.listening, address),
      listenOn(this.#readinessServer.listening, readiness),
    ]);
  }

  /** The ports that the servers are bound to. */
  get ports(): { readonly callers: number; readonly readiness: number } {
    return {
      callers: getBoundPort(this.#callerServer.listening),
      readiness: getBoundPort(this.#readinessServer.listening),
    };
  }

  /** What callers' connections use at the moment. */
  get usage(): ConnectionUsage {
    return this.#callerServer.usage;
  }

  /** Sets the time-outs of the declared state, in milliseconds. */
  setTimeouts(headerTimeoutMs: number, keepAliveMs: number): void {
    this.#callerServer.setTimeouts({
      headMs: headerTimeoutMs,
      // A request whose body does not arrive is dropped after the same time as an idle connection.
      bodyMs: keepAliveMs,
      idleMs: keepAliveMs,
    });
  }

  /** Closes each connection after its next answer from now on. */
  announceClose(): void {
    this.#isClosing = true;
  }

  /** Accepts no new connections and waits up to `timeoutMs` for requests in progress. */
  async close(timeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    this.#isClosing = true;
    this.#callerServer.close();
    const deadlineMs = clock.nowMs() + timeoutMs;
    while (this.#hasRequests && clock.nowMs() < deadlineMs) {
      await clock.sleep(DRAIN_CHECK_PERIOD_MS);
    }
    this.#readinessServer.close();
  }

  #describe(report: CloseReport): LogFields {
    return { ...report, ...this.usage, limits: this.#options.limits };
  }

  /** Whether a request is in progress, or may be among the bytes that wait for their turn. */
  get #hasRequests(): boolean {
    const { requestsInProgress, unparsedBytes } = this.#callerServer.usage;
    return requestsInProgress > 0 || unparsedBytes > 0;
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (incoming.headers.host === undefined && incoming.httpVersion === "1.1") {
      const headers = { "connection": "close", "content-length": 0 };
      response.writeHead(MALFORMED_STATUS, headers).end();
      return;
    }
    const { codec, clock, log, meters } = this.#options;
    const request: CallerRequest = {
      head: codec.decodeHead(
        incoming.method ?? "",
        incoming.url ?? "/",
        incoming.headers,
      ),
      receivedMs: clock.nowMs(),
      readBody: (limitBytes) => this.#readBody(incoming, limitBytes),
    };
    const answer = await this.#answer(request);
    // Its body was cut off, or its caller has left.
    if (response.destroyed || incoming.socket.destroyed) return;
    const tookMs = clock.nowMs() - request.receivedMs;
    meters.noteCall(request.head.method, answer.status, tookMs);
    const isRoutine = request.head.method === "state" && answer.status === 200;
    if (!isRoutine) {
      log.info("call.answered", {
        method: request.head.method,
        path: request.head.path,
        status: answer.status,
        reason: answer.reason,
        ...answer.inputs,
        version: request.state?.version,
        tookMs: Math.round(tookMs),
      });
    }
    this.#send(incoming, response, answer);
  }

  async #answer(request: CallerRequest): Promise<CallerAnswer> {
    try {
      for (const filter of this.#options.filters) {
        const answer = await filter.apply(request);
        if (answer !== undefined) return answer;
      }
      return { status: INTERNAL_STATUS, reason: "no filter answered" };
    } catch (error) {
      return { status: INTERNAL_STATUS, reason: String(error) };
    }
  }

  /** The whole body; undefined when it is longer than the limit. */
  async #readBody(
    incoming: IncomingMessage,
    limitBytes: number,
  ): Promise<Uint8Array | undefined> {
    const outcome = await this.#callerServer.readBody(incoming, limitBytes);
    switch (outcome.kind) {
      case "whole":
        return outcome.body;
      case "too_long":
        return undefined;
      case "cut_off":
        throw new Error("the connection was closed before the body's end");
    }
  }

  #send(
    incoming: IncomingMessage,
    response: ServerResponse,
    answer: CallerAnswer,
  ): void {
    const body = answer.body ?? "";
    const headers: Record<string, string | number> = {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    };
    if (answer.retryAfterS !== undefined) {
      headers["retry-after"] = answer.retryAfterS;
    }
    if (this.#isClosing) headers["connection"] = "close";
    // Reads and drops the rest of an unread body.
    incoming.resume();
    response.writeHead(answer.status, headers);
    response.end(body);
  }
}
