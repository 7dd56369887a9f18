/**
 * Last step of `.ci/run`: runs `npm test` once and prints its failures, then separately those that
 * KNOWN-RED.txt lists. The last line is `N passed, N failed`, which CI reads. The argument is the
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
const reportPath = join(
  mkdtempSync(join(tmpdir(), "coltsfootpond-ci-")),
  "report.json",
);
const run = spawnSync("npm", [
  "test",
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
const knownRed = existsSync("KNOWN-RED.txt")
  ? readFileSync("KNOWN-RED.txt", "utf8")
  : "";
const knownTitles = [...knownRed.matchAll(/^test: (.+)$/gm)].map((match) =>
  match[1].trim()
);

if (report === null) {
  console.log(`the test run wrote no report (exit ${run.status})`);
  console.log(`0 passed, ${1 + earlierFailures} failed`);
  process.exit(1);
}
const failures = report.failures.map((test) => ({
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
for (const test of report.pending) console.log(`SKIPPED ${test.fullTitle}`);
// A known test counts neither as passed nor as failed, so that a flaky one changes no count.
const passes = report.passes.filter((test) =>
  !knownTitles.includes(test.fullTitle)
);
for (const title of knownTitles) {
  const hasPassed = report.passes.some((test) => test.fullTitle === title);
  if (hasPassed) console.log(`KNOWN RED (passed this time) ${title}`);
  const wasRun = report.tests.some((test) => test.fullTitle === title);
  if (!wasRun) console.log(`KNOWN RED (not run here) ${title}`);
}
// Counted as one failure: a non-zero exit code although no test failed.
const crashed = run.status !== 0 && failures.length === 0 ? 1 : 0;
if (crashed) {
  console.log(`the test run ended with ${run.status} without a failing test`);
}
const failed = newFailures.length + report.pending.length + earlierFailures +
  crashed;
console.log(`${passes.length} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
