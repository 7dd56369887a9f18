/** Open-loop load: arrivals follow a Poisson process and do not wait for answers. */
import { Agent, request } from "node:http";
import { build as createHistogram, type Histogram } from "hdr-histogram-js";
import { createHash } from "node:crypto";
import { performance } from "node:perf_hooks";
import type { Random } from "@coltsfootpond/common";
import { SERVICE, TOKENS } from "./options.ts";

export interface LoadTarget {
  readonly kind: "entry" | "runner";
  readonly port: number;
  /** Relative part of the load. */
  readonly weight: number;
}

export interface LoadOptions {
  readonly random: Random;
  readonly targets: readonly LoadTarget[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly timeoutMs: number;
  /** Share of calls that are marked non-idempotent. */
  readonly strictShare: number;
}

/** One call with what its caller was told; held against the runners' ledgers at the end. */
export interface CallRecord {
  readonly requestId: string;
  readonly resultClass: string;
  readonly strict: boolean;
}

export interface LoadResult {
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly foreign: number;
  /** How many calls ended with each code. */
  readonly codes: ReadonlyMap<string, number>;
  /** Counts only answers within the time of the load. */
  readonly answeredPerSecond: number;
  /** Microseconds from the planned start to the end, of answered idempotent calls. */
  readonly entryMicros: Histogram;
  /** The same for requests sent straight to a runner. */
  readonly runnerMicros: Histogram;
  /** Time in which refused calls were given up. */
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

export const callRecords: CallRecord[] = [];

function createHistogramOfMicros(): Histogram {
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
  throw new Error("no target");
}

class Counters {
  sent = 0;
  answered = 0;
  answeredInTime = 0;
  notRun = 0;
  unknown = 0;
  foreign = 0;
  readonly codes = new Map<string, number>();
  readonly entryMicros = createHistogramOfMicros();
  readonly runnerMicros = createHistogramOfMicros();
  readonly refusalMicros = createHistogramOfMicros();

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
  plannedMs: number,
  counters: Counters,
): Promise<void> {
  const headers = { "x-attempt-id": "direct", "x-request-id": "direct" };
  const reply = await send(port, "/run", headers);
  if (reply.status !== 200) return;
  counters.runnerMicros.recordValue((performance.now() - plannedMs) * 1_000);
}

async function callEntry(
  options: LoadOptions,
  port: number,
  plannedMs: number,
  endMs: number,
  counters: Counters,
): Promise<void> {
  const { random, strictShare, timeoutMs } = options;
  const strict = random.next() < strictShare;
  const token = TOKENS[Math.floor(random.next() * TOKENS.length)];
  const reply = await send(port, `/v1/services/${SERVICE}/requests`, {
    "authorization": `Bearer ${token}`,
    "deadline-ms": timeoutMs,
    "coltsfootpond-idempotent": String(!strict),
  });
  const micros = (performance.now() - plannedMs) * 1_000;
  const resultClass = String(reply.headers["coltsfootpond-class"]);
  const requestId = String(reply.headers["coltsfootpond-request-id"]);
  counters.addCode(String(reply.headers["coltsfootpond-code"]));
  callRecords.push({ requestId, resultClass, strict });
  if (resultClass === "answered") {
    counters.answered++;
    if (performance.now() <= endMs) counters.answeredInTime++;
    const own = reply.body.includes(requestId) &&
      reply.body.includes(BODY_DIGEST);
    if (!own) counters.foreign++;
    if (!strict) counters.entryMicros.recordValue(micros);
  } else {
    if (resultClass === "not_run") counters.notRun++;
    else counters.unknown++;
    counters.refusalMicros.recordValue(micros);
  }
}

/** Resolves when every call has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const counters = Counters.create();
  const running = new Set<Promise<void>>();
  const startedMs = performance.now();
  const endMs = startedMs + options.durationMs;
  let plannedMs = startedMs;
  for (;;) {
    const gap = -Math.log(1 - options.random.next());
    plannedMs += gap * 1_000 / options.requestsPerSecond;
    if (plannedMs > endMs) break;
    const waitMs = plannedMs - performance.now();
    if (waitMs > 1) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    const target = chooseTarget(options);
    // Measured from the real start: timer lateness of this process is no latency of the system.
    const beganMs = performance.now();
    const call = target.kind === "runner"
      ? callRunner(target.port, beganMs, counters)
      : callEntry(options, target.port, beganMs, endMs, counters);
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
