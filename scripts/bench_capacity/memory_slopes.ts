/** Measures the memory of an entry's records as their number grows. */
import { type JobId, parseDeclarations } from "@coltsfootpond/common";
import type { JobRow } from "@coltsfootpond/node";
import type { TaskReport } from "@coltsfootpond/ports";
import type { EngineJob } from "@coltsfootpond/policy";
import {
  createDeclarationFiles,
  createJobRow,
  createQueuedJob,
  createTaskReport,
  createWorker,
} from "./fixtures.ts";
import { measureHeap } from "./measure.ts";
import { TARGET } from "./target.ts";
import type { Slope } from "./types.ts";

/** Deep copy, so that no string keeps a larger string alive of which it is a slice. */
function detach<Content>(content: Content): Content {
  return JSON.parse(JSON.stringify(content)) as Content;
}

function createDetachedItems<Item>(
  size: number,
  create: (index: number) => Item,
): readonly Item[] {
  return Array.from({ length: size }, (_, index) => detach(create(index)));
}

/** All memory slopes that need no placement engine. Needs `node --expose-gc`. */
export function measureMemorySlopes(): readonly Slope[] {
  return [
    measureHeap({
      name: "worker_record_memory",
      per: "worker",
      sizes: [500, 1_000, 2_000, 4_000],
      build: (size) => createDetachedItems(size, createWorker),
    }),
    measureHeap({
      name: "task_report_memory",
      per: "task",
      sizes: [5_000, 10_000, 20_000, 40_000],
      build: (size): readonly TaskReport[] =>
        createDetachedItems(size, createTaskReport),
    }),
    measureHeap({
      name: "queued_job_memory",
      per: "queued job",
      sizes: [1_000, 2_000, 4_000, 8_000],
      build: (size) =>
        new Map<JobId, EngineJob>(
          createDetachedItems(size, (index) => createQueuedJob(index, 24)).map((
            job,
          ) => [job.jobId, job]),
        ),
    }),
    measureHeap({
      name: "running_job_row_memory",
      per: "running job of 24 tasks",
      sizes: [250, 500, 1_000, 2_000],
      build: (size): readonly JobRow[] =>
        createDetachedItems(size, (index) => createJobRow(index, 24)),
    }),
    measureHeap({
      name: "organisation_memory",
      per: "organisation",
      sizes: [9, 18, 36, 72],
      build: (size) => parseDeclarationFixture(size),
    }),
    measureHeap({
      name: "configuration_version_memory",
      per: "configuration version kept",
      sizes: [1, 2, 4, 8],
      build: (size) =>
        Array.from(
          { length: size },
          () => parseDeclarationFixture(TARGET.organisations),
        ),
    }),
  ];
}

function parseDeclarationFixture(organisations: number) {
  return parseDeclarations(createDeclarationFiles({
    organisations,
    failureDomains: TARGET.failureDomains,
    workers: TARGET.workers,
  }));
}
