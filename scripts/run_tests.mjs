/**
 * Last step of `.ci/run`: runs `npm test` and then, apart from the other tests, `npm run test:crowds`,
 * each once, and prints their failures, then separately those that KNOWN-RED.txt lists. The last line is `N passed, N failed`, which CI reads. The argument is the
 * number of earlier steps that failed; it is added to the failures. Exits with 1 on any failure.
 *
 * A test counts as known only if an entry of KNOWN-RED.txt has exactly its full title. Such a test
 * counts neither as passed nor as failed. Skipped tests count as failed.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

const earlierFailures = Number(process.argv[2] ?? "0");
const folder = mkdtempSync(join(tmpdir(), "coltsfootpond-ci-"));

/** The exit code and the report of an npm script; the report is null if none was written. */
function runScript(script) {
  const reportPath = join(folder, `${script.replace(":", "-")}.json`);
  const { status } = spawnSync("npm", [
    "run",
    script,
    "--",
    "--reporter",
    "json",
    "--reporter-option",
    `output=${reportPath}`,
  ], {
    stdio: ["ignore", "inherit", "inherit"],
  });
  const report = existsSync(reportPath)
    ? JSON.parse(readFileSync(reportPath, "utf8"))
    : null;
  return { script, status, report };
}

const runs = ["test", "test:crowds"].map(runScript);
const knownRed = existsSync("KNOWN-RED.txt")
  ? readFileSync("KNOWN-RED.txt", "utf8")
  : "";
const knownTitles = [...knownRed.matchAll(/^test: (.+)$/gm)].map((match) =>
  match[1].trim()
);

const missing = runs.filter(({ report }) => report === null);
for (const { script, status } of missing) {
  console.log(`npm run ${script} wrote no report (exit ${status})`);
}
const reports = runs.flatMap(({ report }) => report ?? []);
const failures = reports.flatMap((report) => report.failures).map((test) => ({
  title: test.fullTitle,
  message: test.err?.message ?? "",
}));
const known = failures.filter((failure) => knownTitles.includes(failure.title));
const newFailures = failures.filter((failure) =>
  !knownTitles.includes(failure.title)
);
for (const failure of newFailures) {
  console.log(`FAILED ${failure.title}\n  ${failure.message}`);
}
for (const failure of known) {
  console.log(`KNOWN RED (passed over) ${failure.title}`);
}
const pending = reports.flatMap((report) => report.pending);
for (const test of pending) console.log(`SKIPPED ${test.fullTitle}`);
// A known test counts neither as passed nor as failed, so that a flaky one changes no count.
const allPasses = reports.flatMap((report) => report.passes);
const passes = allPasses.filter((test) =>
  !knownTitles.includes(test.fullTitle)
);
const allTests = reports.flatMap((report) => report.tests);
for (const title of knownTitles) {
  const hasPassed = allPasses.some((test) => test.fullTitle === title);
  if (hasPassed) console.log(`KNOWN RED (passed this time) ${title}`);
  const wasRun = allTests.some((test) => test.fullTitle === title);
  if (!wasRun) console.log(`KNOWN RED (not run here) ${title}`);
}
// Each counts as one failure: a run without a report, and one that failed without a failing test.
const crashed = runs.filter(({ status, report }) =>
  report !== null && status !== 0 && report.failures.length === 0
);
for (const { script, status } of crashed) {
  console.log(
    `npm run ${script} ended with ${status} without a failing test`,
  );
}
const failed = newFailures.length + pending.length + earlierFailures +
  missing.length + crashed.length;
console.log(`${passes.length} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
