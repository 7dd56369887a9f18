/**
 * A stand-in for an upstream runner: HTTP/1.1, a fixed number of slots, a random service time, a
 * ledger of what it ran, and fault injection. `POST /run` runs a request, `GET /ledger` returns the
 * ledger, `PUT /fault/{name}` sets a fault and `PUT /leaving` marks the runner as leaving.
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  type Clock,
  type EventSink,
  NULL_EVENT_SINK,
  type Random,
} from "@coltsfootpond/common";
import { RUNNER_FAULT, type RunnerFault } from "./runner_fault.ts";
import { RunnerLedger } from "./runner_ledger.ts";

export interface RunnerStandInOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly name: string;
  readonly slots: number;
  /** Mean service time. */
  readonly serviceMs: number;
  /** Service times are uniform from `1 - serviceSpread` to `1 + serviceSpread` times the mean. */
  readonly serviceSpread?: number;
  readonly fault?: RunnerFault;
  /** Share of requests to which the fault applies. */
  readonly faultShare?: number;
  readonly events?: EventSink;
}

const LEDGER_CAPACITY = 100_000;
const FAULTS: readonly string[] = Object.values(RUNNER_FAULT);
const OUTPUT_PREFIX = "done:";

/** The output of a request. Deterministic, so that tests can compare it. */
export function createRunnerOutput(
  requestId: string,
  body: Uint8Array,
): string {
  const sha256 = createHash("sha256").update(body).digest("hex");
  const output = `${OUTPUT_PREFIX}${sha256.slice(0, 8)}`;
  return JSON.stringify({ requestId, sha256, output });
}

interface RunRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly service: string;
  readonly body: Uint8Array;
}

async function readBody(incoming: IncomingMessage): Promise<Uint8Array> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** One runner on one port. */
export class RunnerStandIn {
  readonly ledger = RunnerLedger.create(LEDGER_CAPACITY);
  readonly #options: RunnerStandInOptions;
  readonly #server: Server;
  #fault: RunnerFault;
  #faultShare: number;
  #serviceMs: number;
  #serviceSpread: number;
  #leaving = false;
  #slotsInUse = 0;
  #lastAttemptId = "none";

  private constructor(options: RunnerStandInOptions) {
    this.#options = options;
    this.#fault = options.fault ?? RUNNER_FAULT.NONE;
    this.#faultShare = options.faultShare ?? 1;
    this.#serviceMs = options.serviceMs;
    this.#serviceSpread = options.serviceSpread ?? 0;
    this.#server = createServer({ noDelay: true }, (incoming, outgoing) => {
      this.#serve(incoming, outgoing).catch(() => outgoing.destroy());
    });
  }

  static create(options: RunnerStandInOptions): RunnerStandIn {
    return new RunnerStandIn(options);
  }

  get slotsInUse(): number {
    return this.#slotsInUse;
  }

  listen(host: string, port: number): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        resolve(this.#server.address() as AddressInfo);
      });
    });
  }

  setFault(fault: RunnerFault, share = 1): void {
    this.#fault = fault;
    this.#faultShare = share;
  }

  setServiceTime(serviceMs: number, serviceSpread: number): void {
    this.#serviceMs = serviceMs;
    this.#serviceSpread = serviceSpread;
  }

  /** When true, the `x-leaving` header of every reply asks for no new work. */
  setLeaving(leaving: boolean): void {
    this.#leaving = leaving;
  }

  /** Stops listening and closes every connection at once, as if the process had crashed. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const body = await readBody(incoming);
    const [, resource, faultName] = (incoming.url ?? "").split("/");
    if (incoming.method === "POST" && resource === "run") {
      await this.#run({
        attemptId: String(incoming.headers["x-attempt-id"] ?? ""),
        requestId: String(incoming.headers["x-request-id"] ?? ""),
        service: String(incoming.headers["x-service"] ?? ""),
        body,
      }, outgoing);
      return;
    }
    if (resource === "ledger") {
      const executions = this.ledger.list();
      this.#sendJson(outgoing, { ...this.ledger.getCounts(), executions });
      return;
    }
    if (incoming.method === "PUT" && resource === "leaving") {
      this.#leaving = true;
    }
    if (incoming.method === "PUT" && FAULTS.includes(faultName ?? "")) {
      this.setFault(faultName as RunnerFault);
    }
    this.#sendJson(outgoing, { fault: this.#fault, leaving: this.#leaving });
  }

  #sendJson(outgoing: ServerResponse, content: object): void {
    const body = Buffer.from(JSON.stringify(content));
    outgoing.writeHead(200, {
      "content-type": "application/json",
      "content-length": body.byteLength,
    });
    outgoing.end(body);
  }

  async #run(run: RunRequest, outgoing: ServerResponse): Promise<void> {
    const fault = this.#drawFault();
    if (fault === RUNNER_FAULT.SILENT) return;
    if (fault === RUNNER_FAULT.RESET) {
      outgoing.socket?.resetAndDestroy();
      return;
    }
    const isFull = this.#slotsInUse >= this.#options.slots;
    if (isFull || fault === RUNNER_FAULT.REFUSE) {
      this.ledger.countRefusal();
      this.#reply(run, outgoing, 503, "", { "x-not-run": "true" });
      return;
    }
    await this.#execute(run);
    const output = createRunnerOutput(run.requestId, run.body);
    this.#sendResult(run, outgoing, output, fault);
    this.#lastAttemptId = run.attemptId;
  }

  async #execute(run: RunRequest): Promise<void> {
    const { clock, events = NULL_EVENT_SINK, name } = this.#options;
    this.#slotsInUse++;
    const startedMs = clock.nowMs();
    const { attemptId, requestId, service } = run;
    const execution = this.ledger.begin(
      { requestId, attemptId, service, startedMs },
      this.#slotsInUse,
    );
    events.emit("runner.began", { requestId, attemptId, runner: name });
    await clock.sleep(this.#drawServiceMs());
    execution.endedMs = clock.nowMs();
    this.#slotsInUse--;
    events.emit("runner.ended", { requestId, attemptId, runner: name });
  }

  #sendResult(
    run: RunRequest,
    outgoing: ServerResponse,
    output: string,
    fault: RunnerFault,
  ): void {
    switch (fault) {
      case RUNNER_FAULT.CRASH:
        outgoing.socket?.resetAndDestroy();
        return;
      case RUNNER_FAULT.FAIL:
        this.#reply(run, outgoing, 500, "failed", {});
        return;
      case RUNNER_FAULT.CROSS:
        this.#reply(
          { ...run, attemptId: this.#lastAttemptId },
          outgoing,
          200,
          output,
          {},
        );
        return;
      case RUNNER_FAULT.TRUNCATE: {
        const firstHalf = output.slice(0, output.length / 2);
        outgoing.writeHead(200, this.#createHeaders(run, output.length));
        outgoing.write(firstHalf, () => outgoing.socket?.destroy());
        return;
      }
      default:
        this.#reply(run, outgoing, 200, output, {});
    }
  }

  #createHeaders(
    run: RunRequest,
    lengthBytes: number,
  ): Record<string, string | number> {
    return {
      "content-type": "application/json",
      "content-length": lengthBytes,
      "x-attempt-id": run.attemptId,
      "x-slots-in-use": this.#slotsInUse,
      "x-slots": this.#options.slots,
      "x-leaving": String(this.#leaving),
    };
  }

  #reply(
    run: RunRequest,
    outgoing: ServerResponse,
    status: number,
    output: string,
    extraHeaders: Readonly<Record<string, string>>,
  ): void {
    const body = Buffer.from(output);
    const headers = this.#createHeaders(run, body.byteLength);
    outgoing.writeHead(status, { ...headers, ...extraHeaders });
    outgoing.end(body);
  }

  #drawFault(): RunnerFault {
    if (this.#fault === RUNNER_FAULT.NONE) return RUNNER_FAULT.NONE;
    const isFaulty = this.#options.random.next() < this.#faultShare;
    return isFaulty ? this.#fault : RUNNER_FAULT.NONE;
  }

  #drawServiceMs(): number {
    const offset = this.#serviceSpread * (2 * this.#options.random.next() - 1);
    return this.#serviceMs * (1 + offset);
  }
}
