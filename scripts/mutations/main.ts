/**
 * `npm run mutations`: puts each fault into a scratch copy of the committed tree, one at a time, and
 * sees that the named test fails. Exit 1 when a fault goes unnoticed or its text is not found once.
 */
import { spawnSync } from "node:child_process";
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { MUTATIONS } from "./mutations.ts";
import type { Edit, Mutation } from "./types.ts";

const OWN_SCOPE = "@coltsfootpond";
const TEST_TIMEOUT_MS = 120_000;
const MESSAGE_LENGTH = 160;

function createCopy(): string {
  const copy = mkdtempSync(join(tmpdir(), "coltsfootpond-mutations-"));
  spawnSync("bash", ["-c", `git archive HEAD | tar -x -C "${copy}"`], {
    stdio: "inherit",
  });
  const modules = resolve("node_modules");
  mkdirSync(join(copy, "node_modules", OWN_SCOPE), { recursive: true });
  for (const name of readdirSync(modules)) {
    if (name !== OWN_SCOPE) {
      symlinkSync(join(modules, name), join(copy, "node_modules", name));
    }
  }
  const own = {
    common: "packages/common",
    policy: "packages/policy",
    ports: "packages/ports",
    platform: "platform",
    node: "packages/node",
    "stand-ins": "stand_ins",
  };
  for (const [name, folder] of Object.entries(own)) {
    symlinkSync(
      join("..", "..", folder),
      join(copy, "node_modules", OWN_SCOPE, name),
    );
  }
  return copy;
}

type Verdict = "noticed" | "UNNOTICED" | "TEXT NOT FOUND ONCE" | "NO SUCH TEST";

interface TestRun {
  readonly passes: number;
  readonly failures: number;
  /** Of the first failure. */
  readonly message: string;
}

/** The part of mocha's JSON report that is read. */
interface MochaReport {
  readonly stats: { readonly passes: number; readonly failures: number };
  readonly failures: readonly { readonly err: { readonly message: string } }[];
}

interface Judgement {
  readonly verdict: Verdict;
  readonly message: string;
}

function countTests(
  copy: string,
  mutation: Mutation,
): TestRun {
  const reportPath = join(copy, "report.json");
  rmSync(reportPath, { force: true });
  spawnSync(
    "npx",
    [
      "mocha",
      ...["--spec", mutation.spec, "-g", mutation.title],
      ...["--reporter", "json", "--reporter-option", `output=${reportPath}`],
    ],
    {
      cwd: copy,
      env: { ...process.env, CI: "true" },
      stdio: "ignore",
      timeout: TEST_TIMEOUT_MS,
    },
  );
  if (!existsSync(reportPath)) {
    return {
      passes: 0,
      failures: 1,
      message: "the run ended without a report",
    };
  }
  const report: MochaReport = JSON.parse(readFileSync(reportPath, "utf8"));
  const { passes, failures } = report.stats;
  return { passes, failures, message: report.failures[0]?.err.message ?? "" };
}

function applyEdit(copy: string, { file, find, replace }: Edit): boolean {
  const path = join(copy, file);
  const original = readFileSync(path, "utf8");
  if (original.split(find).length !== 2) return false;
  writeFileSync(path, original.replace(find, () => replace));
  return true;
}

function tryMutation(copy: string, mutation: Mutation): Judgement {
  const edits = [mutation, ...(mutation.also ?? [])];
  const originals = edits.map(({ file }) =>
    readFileSync(join(copy, file), "utf8")
  );
  const before = countTests(copy, mutation);
  if (before.passes === 0 || before.failures > 0) {
    return { verdict: "NO SUCH TEST", message: before.message };
  }
  const applied = edits.map((edit) => applyEdit(copy, edit));
  const after = applied.includes(false)
    ? undefined
    : countTests(copy, mutation);
  edits.forEach(({ file }, index) =>
    writeFileSync(join(copy, file), originals[index]!)
  );
  if (after === undefined) {
    return { verdict: "TEXT NOT FOUND ONCE", message: "" };
  }
  const verdict = after.failures > 0 ? "noticed" : "UNNOTICED";
  return { verdict, message: after.message };
}

const wanted = process.argv[2] ?? "";
const copy = createCopy();
let missed = 0;
for (
  const mutation of MUTATIONS.filter(({ name, promise }) =>
    `${name} ${promise}`.includes(wanted)
  )
) {
  const { verdict, message } = tryMutation(copy, mutation);
  if (verdict !== "noticed") missed++;
  console.log(
    `${
      verdict.padEnd(9)
    } ${mutation.promise}: ${mutation.name} (${mutation.title})`,
  );
  console.log(
    `          ${message.replaceAll("\n", " ").slice(0, MESSAGE_LENGTH)}`,
  );
}
rmSync(copy, { recursive: true, force: true });
console.log(`${missed} not noticed`);
process.exit(missed === 0 ? 0 : 1);
