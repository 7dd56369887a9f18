/**
 * Odd rows in the workers' table, which another writer puts, changes and removes: bytes that cannot
 * be read, records of services that are not declared, of workers that never answer or fence each
 * command, copies of live workers' records, and other records under the names of live workers. The
 * declared services change meanwhile.
 */
import {
  brandId,
  nextInteger,
  type Random,
  type ServiceName,
  type WorkerAddress,
} from "@coltsfootpond/common";
import type { WorkerRecord } from "@coltsfootpond/ports";
import { type CellSimulation, SIMULATED_SERVICE } from "../cell_simulation.ts";
import {
  createClosedAddress,
  createFencingAddress,
  createSilentAddress,
} from "../fakes/worker_addresses.ts";
import type { OddRow } from "../fakes/worker_table_fake.ts";
import type { WorkerFake } from "../workers_fake.ts";

export const UNREADABLE_ROW: OddRow = { kind: "unreadable" };
/** Declared for a part of the time only. */
const OTHER_SERVICE = "other" as ServiceName;
const MAXIMUM_PERIOD_MS = 1_000;
/** Rows that come and go between two reads of the table, and rows that last. */
const BRIEF_MS = 600;
const LASTING_MS = 8_000;
const MAXIMUM_ROWS = 4;
const MANY_ROWS = 200;
const MANY_SHARE = 0.01;
/** Share of the changes with which the declared services change too. */
const SERVICES_SHARE = 0.1;
const DECLARED_SERVICES = [
  [SIMULATED_SERVICE],
  [SIMULATED_SERVICE],
  [SIMULATED_SERVICE, OTHER_SERVICE],
  [OTHER_SERVICE],
] as const;
/** Share of the rows that become odd under the name of a live worker. */
const LIVE_SHARE = 0.4;
/** Share of the rows of other names that stay for good. */
const STAYING_SHARE = 0.3;
/** Few enough that rows are replaced by other odd ones. */
const NAMES = 12;

const NUMBERS = [
  0,
  1,
  0.5,
  Number.MAX_SAFE_INTEGER,
  1e308,
  Number.MIN_VALUE,
] as const;
const SIGNED_NUMBERS = [...NUMBERS, -1, -1e308] as const;
const UNUSABLE_ADDRESSES = [
  "",
  "host",
  "host:",
  "host:0",
  "host:-1",
  "host:1.5",
  "host:80800",
  "host\r\n:1",
  "host\u0000:1",
] as const;

export interface OddRecordFaultsOptions {
  readonly simulation: CellSimulation;
  readonly random: Random;
  /** False if no record announces a planned stop, which moves runs to other workers. */
  readonly hasPlannedStops?: boolean;
}

type DrawRecord = (options: OddRecordFaultsOptions) => Partial<WorkerRecord>;

function pick<Item>(random: Random, items: readonly Item[]): Item {
  return items[nextInteger(random, items.length)]!;
}

function pickWorker(
  { simulation, random }: OddRecordFaultsOptions,
): WorkerFake {
  return pick(random, [...simulation.workers.values()]);
}

function drawAddress(options: OddRecordFaultsOptions): WorkerAddress {
  const { random } = options;
  const number = nextInteger(random, NAMES);
  switch (nextInteger(random, 5)) {
    case 0:
      return pickWorker(options).record.address;
    case 1:
      return createClosedAddress(number);
    case 2:
      return createSilentAddress(number);
    case 3:
      return createFencingAddress(number);
    default:
      return brandId<WorkerAddress>(pick(random, UNUSABLE_ADDRESSES));
  }
}

/** How a record differs from that of a live worker. */
const DIFFERENCES: readonly DrawRecord[] = [
  () => ({}),
  () => ({ service: OTHER_SERVICE }),
  (options) => ({ address: drawAddress(options) }),
  (options) => ({
    service: OTHER_SERVICE,
    address: drawAddress(options),
  }),
  ({ random }) => ({ incarnationStartUnixMs: pick(random, NUMBERS) }),
  ({ random }) => ({ heartbeat: pick(random, SIGNED_NUMBERS) }),
  ({ random }) => ({ warmUpRemainingMs: pick(random, NUMBERS) }),
  ({ random }) => ({
    capacity: {
      cpuMilli: pick(random, NUMBERS),
      memoryMib: pick(random, NUMBERS),
      accelerators: pick(random, NUMBERS),
    },
  }),
  ({ random, hasPlannedStops = true }) => ({
    isDraining: hasPlannedStops,
    drainRemainingMs: pick(random, [undefined, ...SIGNED_NUMBERS]),
  }),
];

function drawRow(options: OddRecordFaultsOptions, base: WorkerRecord): OddRow {
  const { random } = options;
  if (random.next() < 0.25) return UNREADABLE_ROW;
  const record = { ...base, ...pick(random, DIFFERENCES)(options) };
  // Some differ in two ways.
  const isDouble = random.next() < 0.3;
  return {
    kind: "record",
    record: isDouble
      ? { ...record, ...pick(random, DIFFERENCES)(options) }
      : record,
  };
}

export class OddRecordFaults {
  readonly #options: OddRecordFaultsOptions;
  #hasEnded = false;

  private constructor(options: OddRecordFaultsOptions) {
    this.#options = options;
  }

  static create(options: OddRecordFaultsOptions): OddRecordFaults {
    const faults = new OddRecordFaults(options);
    faults.#changeLater();
    return faults;
  }

  /** Ends the changes. Some rows under names of no worker stay for good. */
  end(): void {
    this.#hasEnded = true;
    const { simulation, random } = this.#options;
    const { workers, workerTable } = simulation;
    simulation.declareServices([SIMULATED_SERVICE]);
    const names = new Set<string>(workers.keys());
    for (const key of workerTable.oddKeys) {
      const mayStay = !names.has(key);
      if (!mayStay || random.next() >= STAYING_SHARE) {
        workerTable.removeOddRow(key);
      }
    }
  }

  #changeLater(): void {
    const { simulation, random } = this.#options;
    simulation.clock.after(nextInteger(random, MAXIMUM_PERIOD_MS), () => {
      if (this.#hasEnded) return;
      const isMany = random.next() < MANY_SHARE;
      const rows = isMany ? MANY_ROWS : 1 + nextInteger(random, MAXIMUM_ROWS);
      for (let row = 0; row < rows; row++) {
        this.#put(isMany ? `many${row}` : this.#drawKey());
      }
      if (random.next() < SERVICES_SHARE) {
        simulation.declareServices(pick(random, DECLARED_SERVICES));
      }
      this.#changeLater();
    });
  }

  /** Sorts before or after the names of the workers, or is one of them. */
  #drawKey(): string {
    const { random } = this.#options;
    if (random.next() < LIVE_SHARE) {
      return pickWorker(this.#options).record.worker;
    }
    return `${pick(random, ["0", "x"])}${nextInteger(random, NAMES)}`;
  }

  #put(key: string): void {
    const { simulation, random } = this.#options;
    const { clock, workers, workerTable } = simulation;
    const named = [...workers.values()].find(({ record }) =>
      record.worker === key
    );
    const { storedRecord, record } = named ?? pickWorker(this.#options);
    const worker = key as WorkerRecord["worker"];
    const row = drawRow(this.#options, { ...storedRecord ?? record, worker });
    workerTable.putOddRow(key, row);
    const isBrief = random.next() < 0.5;
    const durationMs = nextInteger(random, isBrief ? BRIEF_MS : LASTING_MS);
    clock.after(durationMs, () => {
      if (!this.#hasEnded) workerTable.removeOddRow(key, row);
    });
  }
}
