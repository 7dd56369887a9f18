/**
 * `npm run trace:day -- FILE`: where the time of the jobs of a day went, from the log lines that a
 * replay printed to FILE, or that the daemons wrote. Prints quantiles of each stage of the jobs,
 * why runs were ended, and the changes of the lease holder and of the paths to the store.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { collectJobStages } from "./job_stages.ts";
import { parseLogLine } from "./log_lines.ts";
import { formatDependencies, formatStages, formatStops } from "./tables.ts";

const options = yargs(process.argv.slice(2))
  .usage("npm run trace:day -- FILE...")
  .demandCommand(1)
  .strictOptions()
  .parseSync();

const lines = options._.flatMap((file) =>
  readFileSync(String(file), "utf8").split("\n")
).flatMap((text) => parseLogLine(text) ?? [])
  .sort((left, right) => left.atS - right.atS);
const jobs = collectJobStages(lines);
console.log(`${formatStages(jobs)}\n`);
console.log(`${formatStops(jobs, lines)}\n`);
console.log(formatDependencies(lines));
