/**
 * An entry of another writer appears among the runners' entries: its service is not named in the
 * desired state. It names no runner to use, so the jobs must go on as before.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { countLost, IdleWatch, jobId, QUEUES, runCase, sleep } from "../lib/deployment.mjs";

const JOBS_BEFORE = 4;
const JOBS_AFTER = 12;
const STEP = { count: 2, cpu: 11_000, memMb: 59_000, gpu: 1, workMs: 1_500 };
const FINISH_MS = 14_000;
const MEASURE_MS = 5_000;

const FOREIGN_ENTRY = {
  service: "meter-archive", address: "127.0.0.1:70000", zone: "landsberg", version: "2024.11", slots: 1, state: "ready",
  coldRemainingMs: 0, capacity: { cpu: 1000, memMb: 1024, gpu: 0 }, labels: ["a", "r9-1"], clockMs: 1000, seq: 1, born: 1733000000000,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, { hasTrouble, record }) => {
  if (!await deployment.start()) return undefined;
  const watch = new IdleWatch(deployment);
  const accepted = [];
  const submit = async (number) => {
    const id = jobId(number);
    if (await deployment.submit(QUEUES.ordinary, id, [STEP])) accepted.push(id);
  };
  for (let number = 0; number < JOBS_BEFORE; number++) await submit(number);
  await sleep(4_000);
  for (const id of accepted) {
    if ((await deployment.getState(QUEUES.ordinary, id)).state !== "completed") return undefined;
  }
  if (hasTrouble) {
    deployment.store.put("servers", "meter-archive-3", FOREIGN_ENTRY);
    record.write("another writer's entry", { key: "meter-archive-3", ...FOREIGN_ENTRY });
  }
  await sleep(1_000);
  for (let number = JOBS_BEFORE; number < JOBS_BEFORE + JOBS_AFTER; number++) {
    await submit(number);
    await sleep(500);
  }
  await sleep(FINISH_MS);
  const steps = new Map(accepted.map((id) => [id, STEP]));
  const { lost, longestIdleMs } = await countLost(deployment, watch, QUEUES.ordinary, steps, MEASURE_MS);
  const ends = deployment.fronts.map(({ name, endsByItself }) => ({ name, endsByItself }));
  record.write("judged", { accepted: accepted.length, lost, longestIdleMs, ends });
  return lost === 0;
});
