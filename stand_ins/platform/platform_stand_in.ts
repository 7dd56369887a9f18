/** The platform's services in memory, for tests and for `PlatformServer`, which adds HTTP. */
import type { Clock, Random, Timer } from "@coltsfootpond/common";
import {
  type CallOptions,
  type CommandBatch,
  FaultInjector,
  FaultyObjects,
  FaultyTable,
  type FleetPort,
  type FleetReportRequest,
  MemoryObjects,
  MemoryTable,
  type PlatformPorts,
} from "@coltsfootpond/ports";
import { Fleet } from "./fleet.ts";
import type {
  CapacitySample,
  FaultRequest,
  LedgerMark,
  PlatformLedger,
  ServiceFault,
} from "./types.ts";
import { VmRegistry } from "./vm_registry.ts";

export interface PlatformStandInOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Period of the capacity samples in the ledger; no samples when absent. */
  readonly samplePeriodMs?: number;
}

/** Later samples are not recorded. */
const MAXIMUM_SAMPLES = 200_000;

function createFaultyFleet(fleet: Fleet, faults: FaultInjector): FleetPort {
  return {
    command: (batch: CommandBatch, options: CallOptions) =>
      faults.runCall(options, () => fleet.command(batch)),
    report: (request: FleetReportRequest, options: CallOptions) =>
      faults.runCall(options, () => fleet.report(request)),
  };
}

function applyServiceFault(
  faults: FaultInjector,
  change: ServiceFault = {},
): void {
  faults.down = change.down ?? faults.down;
  faults.delayBeforeMs = change.delayBeforeMs ?? faults.delayBeforeMs;
  faults.delayAfterMs = change.delayAfterMs ?? faults.delayAfterMs;
  faults.loseAnswers = change.loseAnswers ?? faults.loseAnswers;
}

/**
 * Table service, object store, VM list and worker fleet, with fault injection and a ledger of
 * everything that ran.
 */
export class PlatformStandIn {
  readonly ports: PlatformPorts;
  readonly fleet: Fleet;
  readonly vms: VmRegistry;
  readonly #clock: Clock;
  readonly #table = MemoryTable.create();
  readonly #tableFaults: FaultInjector;
  readonly #objectFaults: FaultInjector;
  readonly #fleetFaults: FaultInjector;
  readonly #marks: LedgerMark[] = [];
  readonly #capacity: CapacitySample[] = [];
  readonly #sampleTimer: Timer | undefined;

  private constructor(options: PlatformStandInOptions) {
    const { clock, random, samplePeriodMs } = options;
    this.#clock = clock;
    this.fleet = Fleet.create(clock, random);
    this.vms = VmRegistry.create(clock);
    this.#tableFaults = FaultInjector.create(clock);
    this.#objectFaults = FaultInjector.create(clock);
    this.#fleetFaults = FaultInjector.create(clock);
    this.ports = {
      table: FaultyTable.create(this.#table, this.#tableFaults),
      objects: FaultyObjects.create(
        MemoryObjects.create(),
        this.#objectFaults,
      ),
      vms: this.vms,
      fleet: createFaultyFleet(this.fleet, this.#fleetFaults),
    };
    if (samplePeriodMs !== undefined) {
      this.#sampleTimer = clock.every(
        samplePeriodMs,
        () => this.#recordCapacity(),
      );
    }
  }

  static create(options: PlatformStandInOptions): PlatformStandIn {
    return new PlatformStandIn(options);
  }

  /** Ends the capacity samples. */
  stop(): void {
    this.#sampleTimer?.cancel();
  }

  changeFaults(request: FaultRequest): void {
    applyServiceFault(this.#tableFaults, request.table);
    applyServiceFault(this.#objectFaults, request.objects);
    applyServiceFault(this.#fleetFaults, request.fleet);
    this.vms.lagMs = request.vmListLagMs ?? this.vms.lagMs;
    for (const fault of request.workers ?? []) this.fleet.applyFault(fault);
  }

  /** Records the present time under `name` in the ledger. */
  mark(name: string): LedgerMark {
    const mark = { name, atMs: this.#clock.nowMs() };
    this.#marks.push(mark);
    return mark;
  }

  readLedger(): PlatformLedger {
    const counts = this.#table.countCalls();
    return {
      nowMs: this.#clock.nowMs(),
      runs: this.fleet.listRuns(),
      marks: this.#marks,
      capacity: this.#capacity,
      tableWrites: counts.writes,
      tableReads: counts.reads + counts.scans,
    };
  }

  #recordCapacity(): void {
    if (this.#capacity.length >= MAXIMUM_SAMPLES) return;
    this.#capacity.push(...this.fleet.sampleCapacity());
  }
}
