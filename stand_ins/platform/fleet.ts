/** The fleet port of the platform stand-in, with one `FleetDomain` per failure domain. */
import type { Clock, Random } from "@coltsfootpond/common";
import type {
  CommandBatch,
  CommandOutcome,
  FleetPort,
  FleetReportOutcome,
  FleetReportRequest,
} from "@coltsfootpond/ports";
import { FleetDomain } from "./fleet_domain.ts";
import type {
  CapacitySample,
  FleetDeclaration,
  TaskRun,
  WorkerFault,
} from "./types.ts";

const UNKNOWN_DOMAIN = {
  kind: "unavailable",
  effect: "refused",
  reason: "unknown failure domain",
} as const;

/** The simulated workers of all failure domains. */
export class Fleet implements FleetPort {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #domains = new Map<string, FleetDomain>();

  private constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static create(clock: Clock, random: Random): Fleet {
    return new Fleet(clock, random);
  }

  /** Adds a failure domain, or replaces it together with its tasks. */
  declare(declaration: FleetDeclaration): void {
    const domain = FleetDomain.create(declaration, this.#random);
    this.#domains.set(declaration.failureDomain, domain);
  }

  command(batch: CommandBatch): Promise<CommandOutcome> {
    const domain = this.#domains.get(batch.failureDomain);
    if (domain === undefined) return Promise.resolve(UNKNOWN_DOMAIN);
    const statuses = domain.command(batch, this.#clock.nowMs());
    return Promise.resolve({ kind: "statuses", statuses });
  }

  report(request: FleetReportRequest): Promise<FleetReportOutcome> {
    const domain = this.#domains.get(request.failureDomain);
    if (domain === undefined) return Promise.resolve(UNKNOWN_DOMAIN);
    const report = domain.report(request, this.#clock.nowMs());
    return Promise.resolve({ kind: "report", report });
  }

  /** Sets the condition of a worker; a name that no failure domain has is ignored. */
  applyFault(fault: WorkerFault): void {
    for (const domain of this.#domains.values()) {
      domain.setCondition(fault.worker, fault.condition, this.#clock.nowMs());
    }
  }

  /** All task runs, ended ones included, in order of start. */
  listRuns(): readonly TaskRun[] {
    return [...this.#domains.values()]
      .flatMap((domain) => domain.listRuns(this.#clock.nowMs()))
      .sort((left, right) => left.startMs - right.startMs);
  }

  sampleCapacity(): readonly CapacitySample[] {
    return [...this.#domains.values()]
      .flatMap((domain) => domain.sampleCapacity(this.#clock.nowMs()));
  }
}
