/**
 * `npm run scenarios -- [NAME...] [--events]`: runs the scenarios whose file name contains one of
 * the names, or all, and prints one line of JSON each. Exit code 1 when a promise was broken.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parseScenario } from "./scenario_schema.ts";
import { runScenario } from "./run_scenario.ts";

const FOLDER = "scenarios";

const nameParts = process.argv.slice(2).filter((argument) =>
  !argument.startsWith("--")
);
const showEvents = process.argv.includes("--events");
const files = readdirSync(FOLDER).filter((file) => file.endsWith(".toml"))
  .sort();
let broken = 0;
for (const file of files) {
  if (nameParts.length > 0 && !nameParts.some((part) => file.includes(part))) {
    continue;
  }
  const { events, ...result } = await runScenario(
    parseScenario(readFileSync(join(FOLDER, file), "utf8")),
  );
  if (showEvents) { for (const event of events) console.log(event); }
  console.log(JSON.stringify({ file, ...result }));
  broken += result.breaches.length;
}
process.exit(broken === 0 ? 0 : 1);
