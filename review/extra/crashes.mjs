/**
 * Runners crash one at a time, each for less than a second, and each takes a task of the same gang
 * with it. No run of the gang ends `failed`, so the job must not be shown as `failed`.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { jobId, QUEUES, runCase, sleep } from "../lib/deployment.mjs";

const RUNNERS = 12;
const GANG_ID = jobId(0xabc);
const GANG = { count: 6, gang: true, cpu: 52_000, memMb: 150_000, gpu: 8, workMs: 6_000 };
const CRASHES = 3;
/** A runner crashes this long after the gang's start, as often as not before its first second is over. */
const CRASH_AFTER_MS = 600;
const DOWN_MS = 700;
const FINISH_MS = 30_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, { hasTrouble, record }) => {
  if (!await deployment.start({ runners: RUNNERS })) return undefined;
  let isPresent = () => {};
  const crashed = new Set();
  let failedEnds = 0;
  for (const runner of deployment.runners) {
    const write = runner.record;
    runner.record = (what, fields) => {
      if (what === "run ends" && fields.how === "failed") failedEnds++;
      write(what, fields);
    };
    runner.onStarted = () => isPresent();
  }
  const awaitGang = async () => {
    for (let waitedMs = 0; waitedMs < 20_000; waitedMs += 20) {
      const members = deployment.runners.filter(({ runningTasks }) => runningTasks.some(({ task }) => task.startsWith(GANG_ID)));
      if (members.length === GANG.count) return members;
      await sleep(20);
    }
    return [];
  };
  if (!await deployment.submit(QUEUES.ordinary, GANG_ID, [GANG])) return undefined;
  for (let crash = 0; hasTrouble && crash < CRASHES; crash++) {
    const members = await awaitGang();
    const victim = members.find((runner) => !crashed.has(runner));
    if (victim === undefined) break;
    await sleep(CRASH_AFTER_MS);
    crashed.add(victim);
    victim.crash();
    await sleep(DOWN_MS);
    await victim.revive();
  }
  let state;
  const deadlineMs = record.nowMs + FINISH_MS;
  while (record.nowMs < deadlineMs) {
    ({ state } = await deployment.getState(QUEUES.ordinary, GANG_ID));
    if (state === "failed" || state === "completed") break;
    await sleep(300);
  }
  record.write("judged", { state, crashes: crashed.size, failedEnds, attempts: QUEUES.ordinary.attempts });
  if (state === undefined) return undefined;
  return !(state === "failed" && failedEnds < QUEUES.ordinary.attempts);
});
