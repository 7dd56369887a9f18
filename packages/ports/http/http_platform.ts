/**
 * HTTP+JSON clients that implement the platform ports. Only this module contains the paths and
 * bodies of these services.
 */
import type {
  CallOptions,
  CommandBatch,
  CommandOutcome,
  FleetPort,
  FleetReportOutcome,
  FleetReportRequest,
  GetOutcome,
  ObjectPort,
  PlatformPorts,
  PutOutcome,
  ReadOutcome,
  TablePort,
  TableTransaction,
  TransactionOutcome,
  Unavailable,
  VmListOptions,
  VmListOutcome,
  VmListPort,
} from "../types.ts";
import { lost } from "../unavailable.ts";
import {
  readCommandOutcome,
  readFleetReportOutcome,
  readReadOutcome,
  readTransactionOutcome,
  readVmListOutcome,
} from "./answer_checks.ts";
import {
  HttpClient,
  type ServiceAddress,
  type TrafficMeter,
} from "./http_client.ts";

/** Posts JSON; an answer for which `read` returns undefined is `lost`. */
async function postChecked<Answer>(
  client: HttpClient,
  path: string,
  content: object,
  { timeoutMs }: CallOptions,
  read: (answer: unknown) => Answer | undefined,
): Promise<Answer | Unavailable> {
  const answer = await client.postJson<unknown>(path, content, timeoutMs);
  return read(answer) ?? lost("malformed answer");
}

class HttpTable implements TablePort {
  readonly #client: HttpClient;

  private constructor(client: HttpClient) {
    this.#client = client;
  }

  static create(client: HttpClient): HttpTable {
    return new HttpTable(client);
  }

  transact(
    transaction: TableTransaction,
    options: CallOptions,
  ): Promise<TransactionOutcome> {
    return postChecked(
      this.#client,
      "/table/transact",
      transaction,
      options,
      readTransactionOutcome,
    );
  }

  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome> {
    return postChecked(
      this.#client,
      "/table/read",
      { keys },
      options,
      readReadOutcome,
    );
  }

  scan(prefix: string, options: CallOptions): Promise<ReadOutcome> {
    return postChecked(
      this.#client,
      "/table/scan",
      { prefix },
      options,
      readReadOutcome,
    );
  }
}

class HttpObjects implements ObjectPort {
  readonly #client: HttpClient;

  private constructor(client: HttpClient) {
    this.#client = client;
  }

  static create(client: HttpClient): HttpObjects {
    return new HttpObjects(client);
  }

  async put(
    key: string,
    content: Uint8Array,
    options: CallOptions,
  ): Promise<PutOutcome> {
    const path = `/objects/${encodeURIComponent(key)}`;
    const outcome = await this.#client.exchange({
      method: "PUT",
      path,
      body: content,
      timeoutMs: options.timeoutMs,
    });
    if (outcome.kind === "unavailable") return outcome;
    if (outcome.status === 200) return { kind: "stored" };
    return lost(`status ${outcome.status}`);
  }

  async get(key: string, options: CallOptions): Promise<GetOutcome> {
    const path = `/objects/${encodeURIComponent(key)}`;
    const outcome = await this.#client.exchange({
      method: "GET",
      path,
      timeoutMs: options.timeoutMs,
    });
    if (outcome.kind === "unavailable") return outcome;
    if (outcome.status === 200) return { kind: "found", content: outcome.body };
    if (outcome.status === 404) return { kind: "absent" };
    return lost(`status ${outcome.status}`);
  }
}

class HttpVmList implements VmListPort {
  readonly #client: HttpClient;

  private constructor(client: HttpClient) {
    this.#client = client;
  }

  static create(client: HttpClient): HttpVmList {
    return new HttpVmList(client);
  }

  list(options: VmListOptions): Promise<VmListOutcome> {
    const { knownRevision } = options;
    return postChecked(
      this.#client,
      "/vms/list",
      { knownRevision },
      options,
      readVmListOutcome,
    );
  }
}

class HttpFleet implements FleetPort {
  readonly #client: HttpClient;

  private constructor(client: HttpClient) {
    this.#client = client;
  }

  static create(client: HttpClient): HttpFleet {
    return new HttpFleet(client);
  }

  command(batch: CommandBatch, options: CallOptions): Promise<CommandOutcome> {
    return postChecked(
      this.#client,
      "/fleet/command",
      batch,
      options,
      readCommandOutcome,
    );
  }

  report(
    request: FleetReportRequest,
    options: CallOptions,
  ): Promise<FleetReportOutcome> {
    return postChecked(
      this.#client,
      "/fleet/report",
      request,
      options,
      readFleetReportOutcome,
    );
  }
}

/** Traffic meters, one per service of the platform. */
export interface PlatformMeters {
  readonly table: TrafficMeter;
  readonly objects: TrafficMeter;
  readonly vms: TrafficMeter;
  readonly fleet: TrafficMeter;
}

/** The ports to a platform whose services share one address. */
export function createHttpPlatform(
  address: ServiceAddress,
  meters?: PlatformMeters,
): PlatformPorts {
  return {
    table: HttpTable.create(HttpClient.create(address, meters?.table)),
    objects: HttpObjects.create(HttpClient.create(address, meters?.objects)),
    vms: HttpVmList.create(HttpClient.create(address, meters?.vms)),
    fleet: HttpFleet.create(HttpClient.create(address, meters?.fleet)),
  };
}
