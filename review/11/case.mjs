// See claim.txt. A route is removed and added again, and is public from then on.
import { Runner } from "../lib-3/runner.mjs";
import { desiredState, jobId, sleep, startEntries, Test, TROUBLE } from "../lib-3/cell.mjs";
import { Store } from "../lib-3/store.mjs";

const VISIBLE_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const CANCEL_MS = 3_000;
const STOP_TIMEOUT_MS = 200;

const test = new Test(import.meta.dirname, 60);
const store = await Store.create();
test.cleanups.push(() => store.close());
const withRoute = (version, isPublic) => {
  const state = desiredState(version);
  state.routes = state.routes.map((route) => route.name === "usual" ? { ...route, public: isPublic } : route);
  return state;
};
store.putJson("op", "config", withRoute(1, false));
const runners = [];
for (let i = 0; i < 6; i++) {
  const runner = new Runner({
    id: `i-${i}`, service: "svc", zone: `z${i % 3 + 1}`, rack: "r1", capacity: { cpu: 128000, memMb: 524288, gpu: 8 },
    describeTask: () => ({ need: { cpu: 52000, memMb: 150000, gpu: 1 }, workMs: 15_000 }),
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
// 6 tasks of 15 s; both jobs have room.
const makeJob = () => ({ spec: "survey", steps: [{ count: 6, cpu: 52000, memMb: 150000, gpu: 1, estimateMs: 15000 }] });
const watched = jobId(1);
const cancelled = jobId(2);
async function call(entry, method, id, options) {
  const answer = await entry.call(method, id === "" ? "/usual/" : `/usual/${id}`, options);
  test.note(`${method} ${id}`, { entry: entry.name, key: options.key ?? "none (public)", status: answer.status, content: answer.content });
  return answer;
}
const accepted = [
  await call(entries[0], "POST", watched, { key: "key-a", body: makeJob() }),
  await call(entries[1], "POST", cancelled, { key: "key-a", body: makeJob() }),
];
if (accepted.some(({ status }) => status !== 200)) await test.finish(2, "the jobs were not accepted");
await sleep(1_000);
let version = 1;
if (TROUBLE) {
  const removed = desiredState(++version, { dropRoutes: ["usual"] });
  store.putJson("op", "config", removed);
  test.note("desired state: the route is removed", { version });
  await sleep(CONFIG_APPLY_MS + 500);
}
store.putJson("op", "config", withRoute(++version, TROUBLE));
test.note("desired state: the route is there", { version, public: TROUBLE });
await sleep(VISIBLE_MS + 500);
/** A call carries a key of the job's tenant, unless its route is public. */
const options = TROUBLE ? {} : { key: "key-a" };
const seen = [];
for (const entry of entries) seen.push((await call(entry, "GET", watched, options)).status);
await call(entries[0], "GET", "", options);
const cancel = await call(entries[2], "DELETE", cancelled, options);
const acknowledgedMs = Date.now();
await sleep(CANCEL_MS + STOP_TIMEOUT_MS + 100);
const runsOn = runners.flatMap(({ running }) => [...running.keys()]).filter((task) => task.startsWith(cancelled));
test.note("running after the cancelling", { runsOn });
await sleep(2_000);
const late = runners.flatMap(({ starts }) => starts).filter(({ task, atMs }) =>
  task.startsWith(cancelled) && atMs > acknowledgedMs + CANCEL_MS
);
test.note("started after the cancelling", { late });
const broken = [
  seen.some((status) => status === 410) ? `LOST: GET for an accepted job: ${seen}` : "",
  [200, 410].includes(cancel.status) && (runsOn.length > 0 || late.length > 0)
    ? `UNASKED: DELETE was answered ${cancel.status}, ${runsOn.length} tasks run on, ${late.length} were started later`
    : "",
].filter((text) => text !== "");
if (broken.length > 0) await test.finish(1, broken.join("; "));
await test.finish(0, `GET ${seen}, DELETE ${cancel.status}`);
