/**
 * zod schemas of the declaration files, with the files' snake_case keys. An error text completes a
 * sentence that begins with "expected".
 */
import { z } from "zod";
import type {
  FailureDomainName,
  GuaranteeName,
  OrganisationName,
  RackName,
  RegionName,
  ServiceName,
  WorkerName,
} from "../ids.ts";
import {
  digest,
  durationMs,
  flag,
  integer,
  list,
  name,
  number,
  oneOf,
  table,
  text,
} from "../toml/fields.ts";
import { ADJACENCY, PRIORITY } from "../types.ts";

const MAXIMUM_GANG_TASKS = 1_024;
const MAXIMUM_WORKERS_PER_RACK = 256;
const MAXIMUM_BODY_BYTES = 16 * 1_048_576;

const resources = table({
  milliprocessors: integer({ unit: "thousandths of a processor" }),
  memory_mib: integer({ unit: "MiB" }),
  accelerators: integer({ unit: "accelerators" }),
});

const shape = table({
  tasks: integer({ unit: "tasks", minimum: 1, maximum: MAXIMUM_GANG_TASKS }),
  per_task: resources,
  adjacency: oneOf(ADJACENCY),
});

const organisation = table({
  name: name<OrganisationName>(),
  token_digest: digest(),
  weight: number(0.001, 1_000).default(1),
  quota: resources,
  requests_per_second: number(0.001, 1_000_000),
  concurrent_requests: integer({ unit: "requests", minimum: 1 }),
  queued_jobs: integer({ unit: "jobs" }),
});

const guarantee = table({
  name: name<GuaranteeName>(),
  organisation: name<OrganisationName>(),
  shape,
  count: integer({ unit: "gangs", minimum: 1, maximum: 10_000 }),
  failure_domain: name<FailureDomainName>().optional(),
  survives_domain_loss: flag().default(false),
});

const serviceFields = {
  name: name<ServiceName>(),
  organisations: list(name<OrganisationName>(), "names of organisations")
    .default([]),
  idempotent: flag(),
  maximum_body_bytes: integer({
    unit: "bytes",
    minimum: 1,
    maximum: MAXIMUM_BODY_BYTES,
  }),
};

const callService = table({
  ...serviceFields,
  kind: z.literal("call"),
  timeout_ms: durationMs(),
  progress_timeout_ms: durationMs(),
  slots_per_runner: integer({ unit: "slots", minimum: 1, maximum: 1_024 }),
  retry_budget_share: number(0, 1),
}).refine(
  (service) => service.progress_timeout_ms <= service.timeout_ms,
  { path: ["progress_timeout_ms"], error: "no more than timeout_ms" },
);

const jobService = table({
  ...serviceFields,
  kind: z.literal("job"),
  shape,
  priority: oneOf(PRIORITY).default(PRIORITY.NORMAL),
  expected_run_ms: durationMs(),
  maximum_run_ms: durationMs(),
  can_checkpoint: flag(),
  checkpoint_ms: integer({ unit: "milliseconds" }).default(0),
}).refine(
  (service) => service.expected_run_ms <= service.maximum_run_ms,
  { path: ["expected_run_ms"], error: "no more than maximum_run_ms" },
);

const service = z.discriminatedUnion("kind", [callService, jobService], {
  error: (issue) =>
    issue.code === "invalid_union" ? 'kind = "call" or "job"' : "a table",
});

/** A rack that lists each worker with its resources. */
const listedRack = table({
  name: name<RackName>(),
  workers: list(
    table({ name: name<WorkerName>(), resources }),
    'workers, or { prefix, count } with the rack\'s "resources"',
  ),
});

/** A rack of workers with equal resources, named `{prefix}1`, `{prefix}2` and so on. */
const uniformRack = table({
  name: name<RackName>(),
  workers: table({
    prefix: text("a prefix of the workers' names"),
    count: integer({
      unit: "workers",
      minimum: 1,
      maximum: MAXIMUM_WORKERS_PER_RACK,
    }),
  }),
  resources,
}).transform((rack) => ({
  name: rack.name,
  workers: Array.from({ length: rack.workers.count }, (_, index) => ({
    name: `${rack.workers.prefix}${index + 1}` as WorkerName,
    resources: rack.resources,
  })),
}));

type ListedRack = z.output<typeof listedRack>;

/** Uses the schema of the rack's form in the file; only problems of that form are reported. */
const rack = z.unknown().transform((value, context): ListedRack => {
  const schema = hasUniformWorkers(value) ? uniformRack : listedRack;
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  for (const issue of result.error.issues) {
    context.issues.push({ ...issue, input: value } as z.core.$ZodRawIssue);
  }
  return z.NEVER;
});

function hasUniformWorkers(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const { workers, resources } = value as Record<string, unknown>;
  if (Array.isArray(workers)) return false;
  return typeof workers === "object" || resources !== undefined;
}

const failureDomain = table({
  name: name<FailureDomainName>(),
  region: name<RegionName>(),
  racks: list(rack, "racks"),
  drain_ms: durationMs(),
});

/** The content of one declaration file; each list may be left out. */
export const DECLARATION_FILE_SCHEMA = table({
  operator_token_digests: list(digest(), "token digests").default([]),
  organisations: list(organisation, "organisations").default([]),
  guarantees: list(guarantee, "guarantees").default([]),
  services: list(service, "services").default([]),
  failure_domains: list(failureDomain, "failure domains").default([]),
});

export type DeclarationFileContent = z.output<typeof DECLARATION_FILE_SCHEMA>;
