/** Entry point of the operators' and callers' command line `coltsfootpond`. */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { type DeclarationFile, SystemClock } from "@coltsfootpond/common";
import { hideBin } from "yargs/helpers";
import { runCli } from "./cli.ts";

/** The `*.toml` files of a directory, in order of name. */
async function readDeclarations(
  directory: string,
): Promise<readonly DeclarationFile[]> {
  const names = (await readdir(directory))
    .filter((name) => name.endsWith(".toml"))
    .sort();
  return await Promise.all(names.map(async (name) => ({
    name,
    text: await readFile(join(directory, name), "utf8"),
  })));
}

process.exitCode = await runCli(hideBin(process.argv), {
  clock: SystemClock.create(),
  variables: process.env,
  print: (line) => void process.stdout.write(`${line}\n`),
  printError: (line) => void process.stderr.write(`${line}\n`),
  readFile: (path) => readFile(path),
  readDeclarations,
});
