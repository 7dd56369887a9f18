/** Open-loop load generator: arrivals follow a Poisson process and don't wait for answers. */
import { Agent, request } from "node:http";
import { build as createHistogram, type Histogram } from "hdr-histogram-js";
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";
import type { Random } from "@coltsfootpond/common";
import { SERVICE, TOKENS } from "./options.ts";

export interface LoadTarget {
  readonly kind: "entry" | "runner";
  readonly port: number;
  /** Share of the load relative to the other targets. */
  readonly weight: number;
}

export interface LoadOptions {
  readonly random: Random;
  readonly targets: readonly LoadTarget[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly timeoutMs: number;
  /** Share of the calls through entries that are marked non-idempotent. */
  readonly nonIdempotentShare: number;
}

/** One call through an entry with its result class, compared with the runners' ledgers at the end. */
export interface CallRecord {
  readonly requestId: string;
  readonly resultClass: string;
  readonly nonIdempotent: boolean;
}

/**
 * Counts of the calls through entries. Direct calls to runners only count in `runnerMicros` and, when
 * they get no answer, in `unknown` and `codes`.
 */
export interface LoadResult {
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  /** Calls with another result class, or without an answer. */
  readonly unknown: number;
  /** Answers that belong to another request. */
  readonly foreign: number;
  /** Number of calls by result code, or by error message where no answer arrived. */
  readonly codes: ReadonlyMap<string, number>;
  /** Counts only answers that arrived while the load was sent. */
  readonly answeredPerSecond: number;
  /** Duration of answered idempotent calls, in microseconds. */
  readonly entryMicros: Histogram;
  /** Duration of requests sent directly to a runner that it answered, in microseconds. */
  readonly runnerMicros: Histogram;
  /** Duration of calls with a result class other than `answered`, in microseconds. */
  readonly refusalMicros: Histogram;
}

interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

const agent = new Agent({ keepAlive: true, maxSockets: 1_000, noDelay: true });
const BODY = "a request of a caller";
const BODY_DIGEST = createHash("sha256").update(BODY).digest("hex");

/** The calls through entries in all loads of this process, without those that got no HTTP answer. */
export const callRecords: CallRecord[] = [];

function createMicrosecondHistogram(): Histogram {
  return createHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 4,
  });
}

function send(
  port: number,
  path: string,
  headers: Readonly<Record<string, string | number>>,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: "127.0.0.1",
      port,
      path,
      method: "POST",
      agent,
      headers: { ...headers, "content-length": BODY.length },
    }, (incoming) => {
      let body = "";
      incoming.on("data", (chunk) => (body += chunk));
      incoming.on("error", reject);
      incoming.on(
        "end",
        () =>
          resolve({
            status: incoming.statusCode ?? 0,
            headers: incoming.headers,
            body,
          }),
      );
    });
    outgoing.on("error", reject);
    outgoing.end(BODY);
  });
}

function chooseTarget(options: LoadOptions): LoadTarget {
  const total = options.targets.reduce((sum, { weight }) => sum + weight, 0);
  let drawn = options.random.next() * total;
  for (const target of options.targets) {
    drawn -= target.weight;
    if (drawn < 0) return target;
  }
  throw new Error("the load has no target with a positive weight");
}

/** Mutable counts of one load, by the fields of `LoadResult`. */
class Counters {
  sent = 0;
  answered = 0;
  answeredInTime = 0;
  notRun = 0;
  unknown = 0;
  foreign = 0;
  readonly codes = new Map<string, number>();
  readonly entryMicros = createMicrosecondHistogram();
  readonly runnerMicros = createMicrosecondHistogram();
  readonly refusalMicros = createMicrosecondHistogram();

  private constructor() {}

  static create(): Counters {
    return new Counters();
  }

  addCode(code: string): void {
    this.codes.set(code, (this.codes.get(code) ?? 0) + 1);
  }
}

async function callRunner(
  port: number,
  callStartMs: number,
  counters: Counters,
): Promise<void> {
  const headers = { "x-attempt-id": "direct", "x-request-id": "direct" };
  const reply = await send(port, "/run", headers);
  if (reply.status !== 200) return;
  counters.runnerMicros.recordValue((performance.now() - callStartMs) * 1_000);
}

async function callEntry(
  options: LoadOptions,
  port: number,
  callStartMs: number,
  endMs: number,
  counters: Counters,
): Promise<void> {
  const { random, nonIdempotentShare, timeoutMs } = options;
  const nonIdempotent = random.next() < nonIdempotentShare;
  const token = TOKENS[Math.floor(random.next() * TOKENS.length)];
  const reply = await send(port, `/v1/services/${SERVICE}/requests`, {
    "authorization": `Bearer ${token}`,
    "deadline-ms": timeoutMs,
    "coltsfootpond-idempotent": String(!nonIdempotent),
  });
  const micros = (performance.now() - callStartMs) * 1_000;
  const resultClass = String(reply.headers["coltsfootpond-class"]);
  const requestId = String(reply.headers["coltsfootpond-request-id"]);
  counters.addCode(String(reply.headers["coltsfootpond-code"]));
  callRecords.push({ requestId, resultClass, nonIdempotent });
  if (resultClass === "answered") {
    counters.answered++;
    if (performance.now() <= endMs) counters.answeredInTime++;
    const isOwnAnswer = reply.body.includes(requestId) &&
      reply.body.includes(BODY_DIGEST);
    if (!isOwnAnswer) counters.foreign++;
    if (!nonIdempotent) counters.entryMicros.recordValue(micros);
  } else {
    if (resultClass === "not_run") counters.notRun++;
    else counters.unknown++;
    counters.refusalMicros.recordValue(micros);
  }
}

/** Sends the load and resolves when every call has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const counters = Counters.create();
  const running = new Set<Promise<void>>();
  const loadStartMs = performance.now();
  const endMs = loadStartMs + options.durationMs;
  let plannedMs = loadStartMs;
  for (;;) {
    const gap = -Math.log(1 - options.random.next());
    plannedMs += gap * 1_000 / options.requestsPerSecond;
    if (plannedMs > endMs) break;
    const waitMs = plannedMs - performance.now();
    if (waitMs > 1) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    const target = chooseTarget(options);
    // From the actual start: a late timer in this process must not count as latency of the system.
    const callStartMs = performance.now();
    const call = target.kind === "runner"
      ? callRunner(target.port, callStartMs, counters)
      : callEntry(options, target.port, callStartMs, endMs, counters);
    if (target.kind === "entry") counters.sent++;
    const settled = call
      .catch((error: Error) => {
        counters.unknown++;
        counters.addCode(error.message);
      })
      .finally(() => running.delete(settled));
    running.add(settled);
  }
  await Promise.all(running);
  const seconds = options.durationMs / 1_000;
  return { ...counters, answeredPerSecond: counters.answeredInTime / seconds };
}
