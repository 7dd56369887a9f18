/**
 * One runner of twelve refuses all starts with 429 for 6.5 s, while its status is good and the others
 * are full. Jobs wait. Each machine must count them as `pending`, as no task of them has started.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { IdleWatch, jobId, QUEUES, runCase, sleep } from "../lib/deployment.mjs";

const RUNNERS = 12;
const GPUS = 8;
const FILL_ID = jobId(0xfff0);
const FILL = { cpu: 11_000, memMb: 59_000, gpu: 1, workMs: 30_000 };
const FILL_WAIT_MS = 10_000;
const WAITING = 12;
const SMALL = { count: 1, cpu: 11_000, memMb: 59_000, gpu: 1, workMs: 1_500 };
const TROUBLE_MS = 6_500;
/** MIXED: `visible_ms` + 2 s. */
const VISIBLE_MS = 5_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, { hasTrouble, record }) => {
  if (!await deployment.start({ runners: RUNNERS })) return undefined;
  const watch = new IdleWatch(deployment);
  const filled = hasTrouble ? RUNNERS - 1 : RUNNERS;
  if (!await deployment.submit(QUEUES.ordinary, FILL_ID, [{ ...FILL, count: filled * GPUS }])) return undefined;
  const findFull = () => deployment.runners.filter(({ runningTasks }) => runningTasks.length === GPUS);
  for (let waitedMs = 0; findFull().length !== filled && waitedMs < FILL_WAIT_MS; waitedMs += 100) await sleep(100);
  const full = findFull();
  if (full.length !== filled) return undefined;
  await sleep(1_000);
  const grey = deployment.runners.find((runner) => !full.includes(runner));
  const beganMs = record.nowMs;
  if (hasTrouble) {
    grey.refuseStart = () => 429;
    record.write("a runner refuses starts", { runner: grey.id });
  }
  const acceptedMs = new Map();
  for (let number = 0; number < WAITING; number++) {
    const id = jobId(number);
    if (await deployment.submit(QUEUES.ordinary, id, [SMALL], { tries: 1 })) acceptedMs.set(id, record.nowMs);
  }
  let broken = 0;
  let asked = 0;
  while (record.nowMs < beganMs + TROUBLE_MS - 200) {
    await sleep(200);
    const countWaiting = () => [...acceptedMs].filter(([id, ms]) => record.nowMs - ms > VISIBLE_MS && !watch.hasRun(id)).length;
    const before = countWaiting();
    if (before === 0) continue;
    for (const { machine, status, pending } of await deployment.countPending(QUEUES.ordinary)) {
      if (status !== 200) continue;
      asked++;
      const isBroken = pending < Math.min(before, countWaiting()) / 2;
      if (isBroken) broken++;
      record.write("pending", { machine, pending, acceptedAndNotBegun: before, isBroken });
    }
  }
  if (hasTrouble) {
    grey.refuseStart = () => undefined;
    record.write("the runner accepts starts again", { runner: grey.id });
  }
  watch.stop();
  record.write("judged", { accepted: acceptedMs.size, asked, broken });
  if (asked === 0) return undefined;
  return broken === 0;
});
