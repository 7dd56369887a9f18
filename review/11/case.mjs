// See claim.txt. Jobs take many times as long as estimated.
import { Runner } from "../lib-3/runner.mjs";
import { desiredState, jobId, sleep, startEntries, Test, TROUBLE } from "../lib-3/cell.mjs";
import { Store } from "../lib-3/store.mjs";

/** Of the rule: with nothing running for so long, although there is room. */
const IDLE_MS = 3_000;
const FINISH_S = 14;
const ESTIMATE_MS = 8_500;
const WORK_MS = TROUBLE ? 40 * ESTIMATE_MS : ESTIMATE_MS;
/** HONEST=1: the job says how long its tasks take. */
const STATED_MS = process.env.HONEST === "1" ? WORK_MS : ESTIMATE_MS;
const RUNNERS = 6;
const TASKS = 6;

const test = new Test(import.meta.dirname, 110);
const store = await Store.create();
test.cleanups.push(() => store.close());
store.putJson("op", "config", desiredState(1));
const capacity = { cpu: 128000, memMb: 524288, gpu: 8 };
const need = { cpu: 11000, memMb: 59000, gpu: 1 };
const runners = [];
for (let i = 0; i < RUNNERS; i++) {
  const runner = new Runner({
    id: `i-${i}`, service: "svc", zone: `z${i % 3 + 1}`, rack: "r1", capacity,
    describeTask: () => ({ need, workMs: WORK_MS }),
    record: (event, fields) => test.note(`runner ${event}`, fields),
  });
  await runner.listen();
  const beat = () => store.putJson("servers", `i-${i}`, runner.describe());
  beat();
  const timer = setInterval(beat, 1_500);
  test.cleanups.push(() => {
    clearInterval(timer);
    runner.close();
  });
  runners.push(runner);
}
const entries = await startEntries(test, store, 3);
await sleep(2_000);
const id = jobId(1);
const job = { spec: "check", steps: [{ count: TASKS, cpu: need.cpu, memMb: need.memMb, gpu: 1, antiAffinity: 1, estimateMs: STATED_MS }] };
const answer = await entries[0].call("POST", `/batch/${id}`, { key: "key-a", body: job });
test.note("POST", { id, status: answer.status });
if (answer.status !== 200) await test.finish(2, "the job was not accepted");
// The traffic ends here; the rule looks from `finish_s` on.
const endMs = performance.now() + FINISH_S * 1_000;
const untilMs = endMs + 60_000;
let idleSinceMs;
let longestIdleMs = 0;
const idle = [];
let state = "";
while (performance.now() < untilMs) {
  const nowMs = performance.now();
  const isRunning = runners.some(({ running }) => running.size > 0);
  if (isRunning || state === "completed") {
    if (idleSinceMs !== undefined && nowMs > endMs) idle.push(Math.round(nowMs - Math.max(idleSinceMs, endMs)));
    idleSinceMs = undefined;
  } else idleSinceMs ??= nowMs;
  await sleep(20);
  if (Math.floor(nowMs / 1_000) !== Math.floor((nowMs + 20) / 1_000)) {
    const seen = await entries[1].call("GET", `/batch/${id}`, { key: "key-a" });
    if (seen.content?.state !== state) test.note("GET", { id, status: seen.status, content: seen.content });
    state = seen.content?.state ?? state;
    if (state === "completed") break;
  }
}
const ends = {};
let starts = 0;
for (const runner of runners) {
  starts += runner.starts.length;
}
test.note("summary", { state, starts, idle });
longestIdleMs = Math.max(0, ...idle);
const text = `state ${state}, ${starts} starts of ${TASKS} tasks; from ${FINISH_S} s after the traffic nothing ran for ${idle.join(", ")} ms`;
if (longestIdleMs >= IDLE_MS) await test.finish(1, `LOST: ${text}`);
await test.finish(0, text);
