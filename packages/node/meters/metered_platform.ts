/** Wraps the platform's ports to count the use of the table service and to time every call. */
import type {
  CallOptions,
  PlatformPorts,
  ReadOutcome,
  TablePort,
  TableTransaction,
  TransactionOutcome,
} from "@coltsfootpond/ports";
import { LATENCY_AREA } from "./latency.ts";
import type { Meters } from "./meters.ts";

class MeteredTable implements TablePort {
  readonly #table: TablePort;
  readonly #meters: Meters;

  private constructor(table: TablePort, meters: Meters) {
    this.#table = table;
    this.#meters = meters;
  }

  static create(table: TablePort, meters: Meters): MeteredTable {
    return new MeteredTable(table, meters);
  }

  transact(
    transaction: TableTransaction,
    options: CallOptions,
  ): Promise<TransactionOutcome> {
    this.#meters.addTableWrite(transaction.writes.length);
    return this.#meters.time(
      LATENCY_AREA.TABLE_WRITE,
      () => this.#table.transact(transaction, options),
    );
  }

  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome> {
    return this.#read(() => this.#table.read(keys, options));
  }

  scan(prefix: string, options: CallOptions): Promise<ReadOutcome> {
    return this.#read(() => this.#table.scan(prefix, options));
  }

  async #read(call: () => Promise<ReadOutcome>): Promise<ReadOutcome> {
    const outcome = await this.#meters.time(LATENCY_AREA.TABLE_READ, call);
    this.#meters.addTableRead(
      outcome.kind === "rows" ? outcome.rows.length : 0,
    );
    return outcome;
  }
}

/** Returns ports that record their calls in `meters`; created once by the entry. */
export function createMeteredPlatform(
  ports: PlatformPorts,
  meters: Meters,
): PlatformPorts {
  const { objects, vms, fleet } = ports;
  return {
    table: MeteredTable.create(ports.table, meters),
    objects: {
      put: (key, content, options) =>
        meters.time(
          LATENCY_AREA.OBJECT,
          () => objects.put(key, content, options),
        ),
      get: (key, options) =>
        meters.time(LATENCY_AREA.OBJECT, () => objects.get(key, options)),
    },
    vms: {
      list: (options) =>
        meters.time(LATENCY_AREA.VM_LIST, () => vms.list(options)),
    },
    fleet: {
      command: (batch, options) =>
        meters.time(
          LATENCY_AREA.FLEET_COMMAND,
          () => fleet.command(batch, options),
        ),
      report: (request, options) =>
        meters.time(
          LATENCY_AREA.FLEET_REPORT,
          () => fleet.report(request, options),
        ),
    },
  };
}
