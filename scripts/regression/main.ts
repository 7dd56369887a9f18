/**
 * `npm run regression -- --bench PROGRAM --sites FOLDER [--why TEXT]`: scores every site of
 * `sites.toml`, one after the other, with the platform's benchmark program, and prints one table.
 * Exits with 1 when a day broke a rule or missed the gate, or when a site was not scored.
 */
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import yargs from "yargs";
import { decodeJournalEntry } from "../../platform/benchmark/journal_entry.ts";
import { parseSiteList, type Site } from "./site_list.ts";
import { formatTable, listFailures, type SiteOutcome } from "./summary.ts";

const JOURNAL = "journal";

const options = yargs(process.argv.slice(2))
  .option("bench", {
    type: "string",
    demandOption: true,
    describe: "path of the benchmark program",
  })
  .option("sites", {
    type: "string",
    demandOption: true,
    describe: "folder that contains the site files",
  })
  .option("why", { type: "string", default: "regression run" })
  .strict()
  .parseSync();

function listJournal(): readonly string[] {
  return readdirSync(JOURNAL).filter((name) => name.endsWith(".json"));
}

/** Scores one site; the benchmark program leaves the figures in a new journal entry. */
function score({ file, jobs }: Site): SiteOutcome {
  const earlier = new Set(listJournal());
  spawnSync(options.bench, [
    "score",
    join(options.sites, file),
    "--jobs",
    String(jobs),
    "--why",
    options.why,
  ], { stdio: "inherit" });
  const entry = listJournal().find((name) => !earlier.has(name));
  if (entry === undefined) return { kind: "missing", file };
  const text = readFileSync(join(JOURNAL, entry), "utf8");
  return { kind: "scored", result: decodeJournalEntry(text) };
}

const list = readFileSync(new URL("sites.toml", import.meta.url), "utf8");
const outcomes = parseSiteList(list).map(score);
console.log(formatTable(outcomes));
const failures = listFailures(outcomes);
failures.forEach((failure) => console.log(`FAILED ${failure}`));
if (failures.length > 0) process.exitCode = 1;
