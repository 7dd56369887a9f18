/** Failure domains, workers and declarations of the cluster that a scenario describes. */
import { createHash } from "node:crypto";
import {
  brandId,
  type FailureDomainName,
  MS_PER_SECOND,
  type RackName,
  type WorkerName,
} from "@coltsfootpond/common";
import { stringify } from "smol-toml";
import type { Scenario } from "./scenario_schema.ts";

const WORKER_RESOURCES = {
  milliprocessors: 130_000,
  memoryMib: 500_000,
  accelerators: 8,
};

/** Failure domains `domain-1`, `domain-2` and so on. */
export function listDomains(
  { topology }: Scenario,
): readonly FailureDomainName[] {
  const count = topology.failure_domains;
  return Array.from(
    { length: count },
    (_unused, index) => brandId<FailureDomainName>(`domain-${index + 1}`),
  );
}

/** Workers of one failure domain: `DOMAIN-w1`, `DOMAIN-w2` and so on, in racks `DOMAIN-r1`, ... */
export function listWorkers(
  { topology }: Scenario,
  failureDomain: FailureDomainName,
) {
  const { racks_per_domain: racks, workers_per_rack: workers } = topology;
  return Array.from({ length: racks * workers }, (_unused, index) => ({
    name: brandId<WorkerName>(`${failureDomain}-w${index + 1}`),
    rack: brandId<RackName>(
      `${failureDomain}-r${Math.floor(index / workers) + 1}`,
    ),
    resources: WORKER_RESOURCES,
  }));
}

/** All declarations as one TOML file. `apply` steps change only the `weight` of organisations. */
export function createDeclarations(
  scenario: Scenario,
  weight: number,
): string {
  const perTask = (accelerators: number) => ({
    milliprocessors: 1_000,
    memory_mib: 1_000,
    accelerators,
  });
  const { services } = scenario;
  const quota = {
    milliprocessors: 100_000_000,
    memory_mib: 100_000_000,
    accelerators: 100_000,
  };
  const organisations = ["org-1", "org-2"].map((name) => ({
    name,
    token_digest: createHash("sha256").update(name).digest("hex"),
    weight,
    quota,
    requests_per_second: 1_000,
    concurrent_requests: 1_000,
    queued_jobs: 100_000,
  }));
  return stringify({
    operator_token_digests: [
      createHash("sha256").update("operator").digest("hex"),
    ],
    organisations,
    services: services.map((service) => ({
      name: service.name,
      kind: "job",
      idempotent: service.idempotent,
      maximum_body_bytes: 65_536,
      priority: service.urgent ? "urgent" : "normal",
      expected_run_ms: service.run_ms,
      maximum_run_ms: service.run_ms * 100 + 60 * MS_PER_SECOND,
      can_checkpoint: service.can_checkpoint,
      checkpoint_ms: 1_000,
      shape: {
        tasks: service.tasks,
        adjacency: "rack",
        per_task: perTask(service.accelerators),
      },
    })),
    failure_domains: listDomains(scenario).map((name) => ({
      name,
      region: "region",
      drain_ms: 2_000,
      racks: createRacks(scenario, name),
    })),
  });
}

function createRacks(scenario: Scenario, failureDomain: FailureDomainName) {
  const workers = listWorkers(scenario, failureDomain);
  const { milliprocessors, memoryMib, accelerators } = WORKER_RESOURCES;
  const resources = { milliprocessors, memory_mib: memoryMib, accelerators };
  return [...new Set(workers.map((worker) => worker.rack))].map((rack) => ({
    name: rack,
    workers: workers.filter((worker) => worker.rack === rack).map((
      { name },
    ) => ({ name, resources })),
  }));
}
