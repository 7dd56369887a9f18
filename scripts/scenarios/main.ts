/** `npm run scenarios [-- NAME...]`: runs the scenario files and prints one line each. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parseScenario } from "./scenario_schema.ts";
import { runScenario } from "./run_scenario.ts";

const FOLDER = "scenarios";

const wanted = process.argv.slice(2).filter((word) => !word.startsWith("--"));
const showEvents = process.argv.includes("--events");
const files = readdirSync(FOLDER).filter((file) => file.endsWith(".toml"))
  .sort();
let broken = 0;
for (const file of files) {
  if (wanted.length > 0 && !wanted.some((word) => file.includes(word))) {
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
