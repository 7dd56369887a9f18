/**
 * `npm run capacity:page`: fills the tables of `docs/CAPACITY.md` from the slopes that
 * `npm run bench:capacity` measured last.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { fillPage } from "./bench_capacity/markdown.ts";
import { createTables, PAGE_PATH } from "./bench_capacity/page.ts";
import { readReport } from "./bench_capacity/report.ts";

const report = readReport();
if (report === undefined) {
  throw new Error(
    "no measured slopes found; run `npm run bench:capacity` first",
  );
}
const page = readFileSync(PAGE_PATH, "utf8");
writeFileSync(PAGE_PATH, fillPage(page, createTables(report)));
