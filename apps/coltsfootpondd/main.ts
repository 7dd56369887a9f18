/**
 * The daemon `coltsfootpondd`: reads its settings file, runs one entry, prints its listening
 * addresses as one JSON line, and stops gracefully on SIGTERM or SIGINT. Exit codes: 0 stopped,
 * 1 failed, 2 invalid settings.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import {
  configureLog,
  type EntrySettings,
  formatProblem,
  logEvent,
  parseSettings,
  SYSTEM_RANDOM,
  SystemClock,
} from "@coltsfootpond/common";
import { Entry } from "@coltsfootpond/node";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";

const EXIT_CODE = { STOPPED: 0, FAILED: 1, INVALID_SETTINGS: 2 } as const;

function readSettings(fileName: string): EntrySettings {
  const outcome = parseSettings({
    text: readFileSync(fileName, "utf8"),
    fileName,
  });
  if (outcome.kind === "valid") return outcome.settings;
  for (const problem of outcome.problems) console.error(formatProblem(problem));
  process.exit(EXIT_CODE.INVALID_SETTINGS);
}

function fail(error: unknown): never {
  console.error(JSON.stringify({ event: "failed", detail: String(error) }));
  process.exit(EXIT_CODE.FAILED);
}

async function main(): Promise<void> {
  const parsed = await yargs(hideBin(process.argv))
    .scriptName("coltsfootpondd")
    .usage("$0 --settings FILE\n\nRuns one entry.")
    .option("settings", {
      type: "string",
      demandOption: true,
      describe: "TOML file with the entry's settings",
    })
    .strict()
    .parseAsync();
  const settings = readSettings(parsed.settings);
  configureLog(settings.logNamespaces);
  const entry = Entry.create({
    settings,
    clock: SystemClock.create(),
    random: SYSTEM_RANDOM,
    onEvent: logEvent,
  });
  function stop(): void {
    entry.stop().then(() => process.exit(EXIT_CODE.STOPPED), fail);
  }
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  const address = await entry.start();
  console.log(JSON.stringify({ event: "listening", ...address }));
}

main().catch(fail);
