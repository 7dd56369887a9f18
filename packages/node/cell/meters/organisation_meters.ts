/** Gauges with the organisation as a label. */
import { Gauge, type Registry } from "prom-client";
import type { OrganisationGauges } from "../quotas/organisation_gauges.ts";

const RESOURCES = ["cpuMilli", "memoryMib", "accelerators"] as const;
const RESOURCE_LABELS = {
  cpuMilli: "cpu_milli",
  memoryMib: "memory_mib",
  accelerators: "accelerators",
} as const;

type Read = () => readonly OrganisationGauges[] | undefined;

/** Registers gauges whose values are read at each scrape. */
export function registerOrganisationGauges(
  registry: Registry,
  read: Read,
): void {
  for (const kind of ["running", "quota"] as const) {
    new Gauge({
      name: `coltsfootpond_organisation_${kind}`,
      help: kind === "running"
        ? "What runs for an organisation, by resource."
        : "Quota of an organisation, by resource; 0 for no limit.",
      labelNames: ["organisation", "resource"],
      registers: [registry],
      collect() {
        this.reset();
        for (const gauges of read() ?? []) {
          const { organisation } = gauges;
          for (const resource of RESOURCES) {
            const label = RESOURCE_LABELS[resource];
            this.set(
              { organisation, resource: label },
              gauges[kind]?.[resource] ?? 0,
            );
          }
        }
      },
    });
  }
  registerValue(registry, read, {
    name: "weight",
    help: "Weight of an organisation; 0 if not declared.",
    getValue: ({ weight }) => weight ?? 0,
  });
  registerValue(registry, read, {
    name: "guaranteed_accelerators",
    help: "Accelerators guaranteed to an organisation.",
    getValue: ({ guaranteedAccelerators }) => guaranteedAccelerators,
  });
  registerValue(registry, read, {
    name: "waiting_jobs",
    help: "Jobs of an organisation that have not begun.",
    getValue: ({ waitingJobs }) => waitingJobs,
  });
}

function registerValue(
  registry: Registry,
  read: Read,
  { name, help, getValue }: {
    readonly name: string;
    readonly help: string;
    readonly getValue: (gauges: OrganisationGauges) => number;
  },
): void {
  new Gauge({
    name: `coltsfootpond_organisation_${name}`,
    help,
    labelNames: ["organisation"],
    registers: [registry],
    collect() {
      this.reset();
      for (const gauges of read() ?? []) {
        this.set({ organisation: gauges.organisation }, getValue(gauges));
      }
    },
  });
}
