/**
 * The open connections of all machines to the store go silent, while new ones work. A desired state
 * that adds a route is confirmed meanwhile. Once the machines are in touch again, it must be in force.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, jobId, QUEUES, runCase, sleep } from "../lib/deployment.mjs";

const NEW_QUEUE = { ...QUEUES.ordinary, name: "trassen-pruefung", pathPrefix: "/trassen-pruefung/", priority: 1 };
/** Calls at once at each machine, as of many users. */
const CALLS = 12;
const SMALL = { count: 1, cpu: 11_000, memMb: 59_000, gpu: 1, workMs: 1_000 };
const WATCH_MS = 14_000;
const ASK_PERIOD_MS = 250;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, { hasTrouble, record }) => {
  if (!await deployment.start({ hasProxies: true })) return undefined;
  let number = 0;
  await Promise.all(Array.from({ length: CALLS * deployment.fronts.length }, () =>
    deployment.submit(QUEUES.ordinary, jobId(number++ * 0x1000), [SMALL])));
  await sleep(4_000);
  const open = deployment.storeProxies.map(({ openConnections }) => openConnections);
  record.write("connections to the store", { open });
  const silentMs = record.nowMs;
  if (hasTrouble) {
    deployment.storeProxies.forEach((proxy) => proxy.goSilent());
    record.write("open connections to the store go silent", { open });
  }
  await sleep(300);
  deployment.declare(8, [...Object.values(QUEUES), NEW_QUEUE]);
  const confirmedMs = record.nowMs;
  let broken = 0;
  let asked = 0;
  while (record.nowMs - silentMs < WATCH_MS) {
    const sentMs = record.nowMs;
    const answers = await deployment.countPending(NEW_QUEUE);
    const isInTouch = sentMs - silentMs > BOUNDS.contactMs + 250;
    const isDue = sentMs - confirmedMs > BOUNDS.configApplyMs;
    for (const { machine, status } of answers) {
      const isBroken = isInTouch && isDue && status === 404;
      if (isBroken) broken++;
      if (isInTouch && isDue) asked++;
      record.write("new route", { machine, sentMs: sentMs - silentMs, status, isInTouch, isDue, isBroken });
    }
    await sleep(ASK_PERIOD_MS);
  }
  record.write("judged", { asked, broken });
  return broken === 0;
});
