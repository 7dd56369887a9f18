/**
 * `npm run bench:rounds -- --workers 100,400,1500 --rounds N`: the processor time that the lease
 * holder takes to plan one round of a full cell, by the number of workers.
 */
import process from "node:process";
import { planRound } from "@coltsfootpond/policy";
import yargs from "yargs";
import { createFullCell } from "./full_cell.ts";

const WARM_UP_ROUNDS = 5;

const options = yargs(process.argv.slice(2))
  .option("workers", { type: "string", default: "100,400,1500" })
  .option("rounds", { type: "number", default: 30 })
  .strict()
  .parseSync();

function measureMedianMs(workers: number): number {
  const timesMs: number[] = [];
  for (let round = 0; round < WARM_UP_ROUNDS + options.rounds; round++) {
    const input = createFullCell({ workers, seed: round });
    const before = process.cpuUsage();
    planRound(input);
    const { user, system } = process.cpuUsage(before);
    if (round >= WARM_UP_ROUNDS) timesMs.push((user + system) / 1_000);
  }
  timesMs.sort((left, right) => left - right);
  return timesMs[Math.floor(timesMs.length / 2)] ?? 0;
}

for (const workers of options.workers.split(",").map(Number)) {
  const { waiting } = createFullCell({ workers, seed: 0 });
  const medianMs = measureMedianMs(workers);
  console.log(
    `${workers} workers, ${waiting.length} waiting: median ${
      medianMs.toFixed(2)
    } ms, ${(1_000 * medianMs / workers).toFixed(1)} us a worker`,
  );
}
