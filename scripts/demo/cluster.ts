/**
 * Starts the platform stand-in, the runners and the entries as processes, and registers runners and
 * entries in the platform's VM list. The demo and the recovery bench use it.
 */
import { createHash } from "node:crypto";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import type {
  CallServiceDeclaration,
  FailureDomainDeclaration,
  ServiceName,
} from "@coltsfootpond/common";
import type {
  FleetDeclaration,
  PlatformLedger,
} from "@coltsfootpond/stand-ins";
import { type Example, OPERATOR_TOKEN } from "./example.ts";
import { JsonClient } from "./json_client.ts";
import type { ProcessGroup, StartedProcess } from "./process_group.ts";

const HOST = "127.0.0.1";
const RUNNERS_PER_SERVICE = 3;
const RUNNER_SERVICE_MS = 30;
const STOP_TIMEOUT_MS = 15_000;
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 100;

export interface ClusterOptions {
  readonly example: Example;
  readonly processes: ProcessGroup;
  /** Receives the settings files of the entries. */
  readonly directory: string;
  readonly seed: number;
}

/** A started runner stand-in. */
export interface RunnerHandle {
  readonly process: StartedProcess;
  readonly service: ServiceName;
  readonly client: JsonClient;
}

export interface EntryHandle {
  readonly process: StartedProcess;
  readonly failureDomain: string;
  /** Client of the entry with the operator's token. */
  readonly operator: JsonClient;
}

function getPort(process: StartedProcess, key: string): number {
  const port = process.announcement[key];
  if (typeof port !== "number") {
    throw new Error(`${process.name} announced no port as ${key}`);
  }
  return port;
}

function createFleetDeclaration(
  domain: FailureDomainDeclaration,
): FleetDeclaration {
  return {
    failureDomain: domain.name,
    workers: domain.racks.flatMap((rack) =>
      rack.workers.map((worker) => ({ ...worker, rack: rack.name }))
    ),
  };
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** All processes of the demo, except that the load generator runs in the demo's own process. */
export class Cluster {
  readonly runners: RunnerHandle[] = [];
  readonly entries: EntryHandle[] = [];
  readonly #options: ClusterOptions;
  readonly #platform: JsonClient;
  readonly #platformPort: number;
  readonly balancerPort: number;

  private constructor(options: ClusterOptions, platform: StartedProcess) {
    this.#options = options;
    this.#platformPort = getPort(platform, "port");
    this.balancerPort = getPort(platform, "balancerPort");
    this.#platform = JsonClient.create({
      host: HOST,
      port: this.#platformPort,
    });
  }

  /** Starts one entry per failure domain and three runners per call service. */
  static async create(options: ClusterOptions): Promise<Cluster> {
    const platform = await options.processes.start({
      name: "platform",
      program: "platform.mjs",
      args: ["--seed", String(options.seed)],
    });
    const cluster = new Cluster(options, platform);
    const { failureDomains, services } = options.example.declarations;
    for (const domain of failureDomains) {
      await cluster.#post("/fleet/workers", createFleetDeclaration(domain));
    }
    const calls = services.filter((service) => service.kind === "call");
    await Promise.all(calls.map((service) => cluster.#startRunners(service)));
    for (const domain of failureDomains) {
      await cluster.startEntry(domain.name, domain.region);
    }
    return cluster;
  }

  /** Starts a further entry in `failureDomain`; resolves when the VM list contains it. */
  async startEntry(failureDomain: string, region: string): Promise<void> {
    const name = `entry-${this.entries.length + 1}`;
    const path = join(this.#options.directory, `${name}.toml`);
    writeFileSync(path, this.#formatSettings(name, failureDomain, region));
    const process = await this.#options.processes.start({
      name,
      program: "coltsfootpondd.mjs",
      args: ["--settings", path],
    });
    const port = getPort(process, "httpPort");
    await this.#post("/vms/register", {
      name,
      role: "entry",
      state: "live",
      host: HOST,
      port,
    });
    this.entries.push({
      process,
      failureDomain,
      operator: JsonClient.create({ host: HOST, port }, OPERATOR_TOKEN),
    });
  }

  /** Resolves when `/readyz` of the entry succeeds; throws after 20 s. */
  async waitReady(entry: EntryHandle): Promise<void> {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < endMs) {
      try {
        await entry.operator.exchange({ method: "GET", path: "/readyz" });
        return;
      } catch {
        await pause(READY_POLL_MS);
      }
    }
    throw new Error(
      `${entry.process.name} did not become ready before the timeout`,
    );
  }

  /** Marks a VM as leaving in the VM list. */
  leave(name: string): Promise<unknown> {
    return this.#post("/vms/leave", { name });
  }

  /** Removes a VM from the VM list. */
  remove(name: string): Promise<unknown> {
    return this.#post("/vms/remove", { name });
  }

  /** Records the present time of the platform's clock under `name` in the platform's ledger. */
  mark(name: string): Promise<unknown> {
    return this.#post("/control/mark", { name });
  }

  readLedger(): Promise<PlatformLedger> {
    return this.#platform.get<PlatformLedger>("/control/ledger");
  }

  #post(path: string, content: object): Promise<unknown> {
    return this.#platform.send("POST", path, content);
  }

  async #startRunners(service: CallServiceDeclaration): Promise<void> {
    const { failureDomains } = this.#options.example.declarations;
    for (let index = 0; index < RUNNERS_PER_SERVICE; index++) {
      const name = `runner-${service.name}-${index + 1}`;
      const process = await this.#options.processes.start({
        name,
        program: "runner.mjs",
        args: [
          ...["--name", name, "--slots", String(service.slotsPerRunner)],
          ...["--service-ms", String(RUNNER_SERVICE_MS)],
          ...["--seed", String(this.#options.seed + index)],
        ],
      });
      const port = getPort(process, "port");
      await this.#post("/vms/register", {
        name,
        role: "runner",
        state: "live",
        host: HOST,
        port,
        service: service.name,
        failureDomain: failureDomains[index % failureDomains.length]?.name,
        slots: service.slotsPerRunner,
      });
      const client = JsonClient.create({ host: HOST, port });
      this.runners.push({ process, service: service.name, client });
    }
  }

  #formatSettings(
    entry: string,
    failureDomain: string,
    region: string,
  ): string {
    const secret = createHash("sha256")
      .update(`demo ${this.#options.seed}`).digest("hex");
    const digest = createHash("sha256").update(OPERATOR_TOKEN).digest("hex");
    return [
      `entry = "${entry}"`,
      `region = "${region}"`,
      `failure_domain = "${failureDomain}"`,
      `host = "${HOST}"`,
      "http_port = 0",
      "mesh_port = 0",
      `platform_host = "${HOST}"`,
      `platform_port = ${this.#platformPort}`,
      `mesh_secret = "${secret}"`,
      `bootstrap_operator_token_digests = ["${digest}"]`,
      `stop_timeout_ms = ${STOP_TIMEOUT_MS}`,
      "",
    ].join("\n");
  }
}
