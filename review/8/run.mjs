// The runners reject all starts of one queue, as they carry no ticket of its advice service. Jobs of
// another queue, which needs none, come at the same time to the same runners.
import { createServer } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Runner } from "../lib-2/runner.mjs";
import { runCase, sleep } from "../lib-2/site.mjs";

const BOUNDS = {
  contactMs: 3000, ackTimeoutMs: 4000, drainMs: 2000, graceS: 6, configApplyMs: 2000, maxHoldMs: 6000,
  stopTimeoutMs: 200, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14,
  status_s: 120, leaseMs: 3000,
};
const RUNNERS = 8;
const ACCELERATORS = 8;
const ADVISED_JOBS = 24;
const ADVISED_TASKS = 3;
/** The site's rate of urgent jobs, 1.36 a second, in a burst of x 2.1 for 6 s, and after it. */
const BURST_JOBS = 17;
const BURST_PERIOD_MS = 350;
const USUAL_PERIOD_MS = 735;
const PLAIN_JOBS = 4;
const WORK_MS = 4000;
const ADVISED_KEY = "d4a3hwrr6x73d3zji9n7";
const PLAIN_KEY = "3hh2b9wu3fexd9dnn2ct";
const WATCH_FROM_MS = BOUNDS.finish_s * 1000;
const WATCH_MS = 12_000;
const LIMIT_MS = 3000;

const createAdvisedId = (number) => `bbbbbbbbbbbbbb${(16 + number).toString(16)}`;
const createPlainId = (number) => `aaaaaaaaaaaaaa${(16 + number).toString(16)}`;
const createRoute = (name, pathPrefix, priority, targetLatencyMs) => ({
  name, host: "nony24.example", pathPrefix, kind: "non_idempotent", timeoutMs: 3000, targetLatencyMs, priority,
  service: "formulate", attempts: 3, stretch: 3.0, public: false,
});

/** Advises all workers that it is asked for, each with its ticket. */
async function startAdvice(host) {
  const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { workers = [] } = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    await sleep(20 + workers.length);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ good: workers.map((id) => [id, `ticket-${id}`]), validityMs: 3000 }));
  });
  await new Promise((done, fail) => server.once("error", fail).listen(0, host, done));
  return `${host}:${server.address().port}`;
}

await runCase(dirname(fileURLToPath(import.meta.url)), 100_000, async (site, withTrouble) => {
  const state = {
    version: 1,
    routes: [
      { ...createRoute("r-zzyyjsg", "/pufi791/", 0, 250), advice: { decideMs: 20, perItemMs: 1, validityMs: 3000 } },
      createRoute("r-3ajwyy7", "/pule252/", 2, 3000),
    ],
    services: [{ name: "formulate", healthPath: "/healthz", maxConns: 64, protocol: "h1", tls: false, enforcesCapacity: true, spare: false }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [
      { name: "kaje80", apiKeys: [ADVISED_KEY], priority: 1, guaranteed: { gpu: 20 } },
      { name: "lomi31", apiKeys: [PLAIN_KEY], priority: 1, guaranteed: { gpu: 20 } },
    ],
  };
  let rejected = 0;
  const record = (fields) => {
    if (fields.event === "start rejected" && ++rejected > 200) return;
    site.record(fields);
  };
  await site.start({ entries: 3, bounds: BOUNDS, state, advice: await startAdvice(site.nextHost()) });
  for (let index = 0; index < RUNNERS; index++) {
    const runner = new Runner({
      store: site.store, record, id: `i-7f3a91c${index}`, host: site.nextHost(), service: "formulate",
      zone: ["badr-a", "obour-b", "nasr-c"][index % 3], capacity: { cpu: 128000, memMb: 262144, gpu: ACCELERATORS },
      labels: ["a", `r${1 + index % 3}-1`], maxHoldMs: BOUNDS.maxHoldMs, stopTimeoutMs: BOUNDS.stopTimeoutMs,
      needOf: () => 1, workMs: () => WORK_MS,
      ticketOf: (task, id) => task.startsWith("bbbb") ? `ticket-${id}` : undefined,
    });
    site.runners.push(runner);
    await runner.rise();
  }
  if (!await site.awaitReady(25_000)) throw new Error("the entries did not become ready");
  await sleep(4000);

  const submit = async (path, key, count, estimateMs) => {
    const body = { spec: "(text)", steps: [{ count, cpu: 11000, memMb: 20000, gpu: 1, estimateMs }] };
    for (let attempt = 0; attempt < 5; attempt++) {
      const { status } = await site.ask(site.entries[attempt % 3], "POST", path, { key, body });
      if (status === 200) return true;
      await sleep(300);
    }
    return false;
  };
  if (withTrouble) {
    for (let number = 0; number < ADVISED_JOBS; number++) {
      await submit(`/pufi791/${createAdvisedId(number)}`, ADVISED_KEY, ADVISED_TASKS, WORK_MS);
      await sleep(number < BURST_JOBS ? BURST_PERIOD_MS : USUAL_PERIOD_MS);
    }
  }
  await sleep(1000);
  const accepted = [];
  for (let number = 0; number < PLAIN_JOBS; number++) {
    if (await submit(`/pule252/${createPlainId(number)}`, PLAIN_KEY, 2, 6000)) accepted.push(createPlainId(number));
  }
  if (accepted.length === 0) throw new Error("no job of the plain queue was accepted");

  // From finish_s after the end of the traffic: how long nothing of an accepted job runs, although less
  // than half of the accelerators is in use; a job that has ended waits for nothing.
  const endMs = performance.now();
  const ended = new Set();
  const idleSinceMs = new Map();
  let longestMs = 0;
  let nextAskMs = 0;
  while (performance.now() - endMs < WATCH_FROM_MS + WATCH_MS && ended.size < accepted.length) {
    const nowMs = performance.now();
    if (nowMs >= nextAskMs) {
      nextAskMs = nowMs + 1000;
      // Not awaited, so that the runners are looked at all the while.
      for (const id of accepted) {
        site.ask(site.entries[1], "GET", `/pule252/${id}`, { key: PLAIN_KEY }).then(({ status, body }) => {
          if (status === 200 && ["completed", "failed", "cancelled"].includes(JSON.parse(body).state)) ended.add(id);
        });
      }
    }
    const running = site.runners.flatMap((runner) => runner.running.map(([task]) => task));
    const isIdle = running.length < RUNNERS * ACCELERATORS / 2;
    for (const id of accepted) {
      const waits = isIdle && !ended.has(id) && !running.some((task) => task.startsWith(id));
      if (nowMs - endMs < WATCH_FROM_MS || !waits) idleSinceMs.delete(id);
      else {
        if (!idleSinceMs.has(id)) idleSinceMs.set(id, nowMs);
        longestMs = Math.max(longestMs, nowMs - idleSinceMs.get(id));
      }
    }
    await sleep(20);
  }
  const words = `${ended.size} of ${accepted.length} jobs of the queue without advice have ended; nothing of one ran for ` +
    `${Math.round(longestMs)} ms on end, and ${rejected} starts of the other queue were rejected`;
  return { isBroken: longestMs >= LIMIT_MS, words };
});
