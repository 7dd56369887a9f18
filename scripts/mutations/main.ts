/**
 * `npm run mutations [-- TEXT]`: injects each fault, one at a time, into a temporary copy of the
 * committed tree and checks that its test, which must pass without the fault, fails. With TEXT,
 * only mutations whose name or promise contains it are run. Exits with 1 unless all are noticed.
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

const PACKAGE_SCOPE = "@coltsfootpond";
const TEST_TIMEOUT_MS = 120_000;
const MAXIMUM_MESSAGE_LENGTH = 160;

/** Copies the files of HEAD to a temporary folder and links `node_modules` into it. */
function createCopy(): string {
  const copy = mkdtempSync(join(tmpdir(), "coltsfootpond-mutations-"));
  spawnSync("bash", ["-c", `git archive HEAD | tar -x -C "${copy}"`], {
    stdio: "inherit",
  });
  const modules = resolve("node_modules");
  mkdirSync(join(copy, "node_modules", PACKAGE_SCOPE), { recursive: true });
  for (const name of readdirSync(modules)) {
    if (name !== PACKAGE_SCOPE) {
      symlinkSync(join(modules, name), join(copy, "node_modules", name));
    }
  }
  const workspacePackages = {
    common: "packages/common",
    policy: "packages/policy",
    ports: "packages/ports",
    platform: "platform",
    node: "packages/node",
    "stand-ins": "stand_ins",
  };
  for (const [name, folder] of Object.entries(workspacePackages)) {
    symlinkSync(
      join("..", "..", folder),
      join(copy, "node_modules", PACKAGE_SCOPE, name),
    );
  }
  return copy;
}

/**
 * "TEXT NOT FOUND ONCE": `find` occurs in its file never or repeatedly. "NO SUCH TEST": without the
 * fault no test has the title, or one fails.
 */
type Verdict = "noticed" | "UNNOTICED" | "TEXT NOT FOUND ONCE" | "NO SUCH TEST";

interface TestRun {
  readonly passes: number;
  readonly failures: number;
  /** Error message of the first failure; empty if there is none. */
  readonly message: string;
}

/** The fields of mocha's JSON report that are used. */
interface MochaReport {
  readonly stats: { readonly passes: number; readonly failures: number };
  readonly failures: readonly { readonly err: { readonly message: string } }[];
}

interface MutationResult {
  readonly verdict: Verdict;
  readonly message: string;
}

/** Runs the tests of the mutation's title in the copy; a run without a report is one failure. */
function runTests(
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
      message: "mocha ended or timed out without a report",
    };
  }
  const report: MochaReport = JSON.parse(readFileSync(reportPath, "utf8"));
  const { passes, failures } = report.stats;
  return { passes, failures, message: report.failures[0]?.err.message ?? "" };
}

/** False, and the file unchanged, if `find` does not occur exactly once. */
function applyEdit(copy: string, { file, find, replace }: Edit): boolean {
  const path = join(copy, file);
  const original = readFileSync(path, "utf8");
  if (original.split(find).length !== 2) return false;
  writeFileSync(path, original.replace(find, () => replace));
  return true;
}

/** Tests the copy without and with the fault, and restores it. */
function testMutation(copy: string, mutation: Mutation): MutationResult {
  const edits = [mutation, ...(mutation.furtherEdits ?? [])];
  const originals = edits.map(({ file }) =>
    readFileSync(join(copy, file), "utf8")
  );
  const before = runTests(copy, mutation);
  if (before.passes === 0 || before.failures > 0) {
    return { verdict: "NO SUCH TEST", message: before.message };
  }
  const applied = edits.map((edit) => applyEdit(copy, edit));
  const after = applied.includes(false) ? undefined : runTests(copy, mutation);
  edits.forEach(({ file }, index) =>
    writeFileSync(join(copy, file), originals[index]!)
  );
  if (after === undefined) {
    return { verdict: "TEXT NOT FOUND ONCE", message: "" };
  }
  const verdict = after.failures > 0 ? "noticed" : "UNNOTICED";
  return { verdict, message: after.message };
}

const filterText = process.argv[2] ?? "";
const copy = createCopy();
let unnoticed = 0;
for (
  const mutation of MUTATIONS.filter(({ name, promise }) =>
    `${name} ${promise}`.includes(filterText)
  )
) {
  const { verdict, message } = testMutation(copy, mutation);
  if (verdict !== "noticed") unnoticed++;
  console.log(
    `${
      verdict.padEnd(9)
    } ${mutation.promise}: ${mutation.name} (${mutation.title})`,
  );
  console.log(
    `          ${
      message.replaceAll("\n", " ").slice(0, MAXIMUM_MESSAGE_LENGTH)
    }`,
  );
}
rmSync(copy, { recursive: true, force: true });
console.log(`${unnoticed} not noticed`);
process.exit(unnoticed === 0 ? 0 : 1);
