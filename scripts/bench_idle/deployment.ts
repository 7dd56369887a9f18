/**
 * Starts an idle deployment of today's size for the idle bench: the stand-in platform and the entries,
 * as real processes on the loopback interface.
 */
import {
  type DeclarationFile,
  type Declarations,
  formatProblem,
  parseDeclarations,
} from "@coltsfootpond/common";
import { HttpClient } from "@coltsfootpond/ports";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StartedProcess } from "./started_process.ts";

const HOST = "127.0.0.1";
const DECLARATIONS_DIRECTORY = "examples/lechfeld";
/** Not applied, because idle traffic does not depend on the guarantees. */
const GUARANTEES_FILE = "guarantees.toml";
/** Token of the operator that the example declares. */
const OPERATOR_TOKEN = "example-token-operator";
const RUNNER_COUNT = 30;
const CALL_TIMEOUT_MS = 5_000;
const RETRY_DELAY_MS = 250;
const RETRY_TIMEOUT_MS = 30_000;

/** The processes of one run; `stop` ends all of them and removes their settings files. */
export class IdleDeployment {
  readonly #directory = mkdtempSync(join(tmpdir(), "coltsfootpond-idle-"));
  readonly #processes: StartedProcess[] = [];
  readonly #entryPorts: number[] = [];

  private constructor() {}

  /**
   * Starts the platform and that many entries, applies the example's declarations and waits until
   * every entry is ready. On an error, stops what was started.
   */
  static async start(entries: number): Promise<IdleDeployment> {
    const deployment = new IdleDeployment();
    try {
      await deployment.#start(entries);
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  async stop(): Promise<void> {
    await Promise.all(
      this.#processes.reverse().map((started) => started.stop()),
    );
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** The metrics of every entry in Prometheus text format, in the order of their starts. */
  readMetrics(): Promise<readonly string[]> {
    return Promise.all(
      this.#entryPorts.map(async (port) =>
        await (await callEntry(port, "/v1/metrics")).text()
      ),
    );
  }

  async #start(entries: number): Promise<void> {
    const files = readDeclarationFiles();
    const declarations = parseDeclarationFiles(files);
    const platform = await this.#startProcess("platform", []);
    const platformPort = platform.listening.port ?? 0;
    await registerWorkersAndRunners(platformPort, declarations);
    for (let index = 0; index < entries; index++) {
      await this.#startEntry(index, platformPort, declarations);
    }
    const [firstPort = 0] = this.#entryPorts;
    await applyDeclarations(firstPort, files);
    await Promise.all(this.#entryPorts.map(waitUntilReady));
  }

  async #startEntry(
    index: number,
    platformPort: number,
    declarations: Declarations,
  ): Promise<void> {
    const { failureDomains, operatorTokenDigests } = declarations;
    const assignedDomain = failureDomains[index % failureDomains.length];
    const settings = [
      `entry = "entry-${index + 1}"`,
      `region = "${assignedDomain?.region}"`,
      `failure_domain = "${assignedDomain?.name}"`,
      `host = "${HOST}"`,
      "http_port = 0",
      "mesh_port = 0",
      `platform_host = "${HOST}"`,
      `platform_port = ${platformPort}`,
      'mesh_secret = "a secret of the idle bench"',
      `bootstrap_operator_token_digests = ["${operatorTokenDigests[0]}"]`,
      'log_namespaces = ""',
      "stop_timeout_ms = 3_000",
    ];
    const path = join(this.#directory, `entry-${index + 1}.toml`);
    writeFileSync(path, settings.join("\n"));
    const entry = await this.#startProcess("coltsfootpondd", [
      "--settings",
      path,
    ]);
    this.#entryPorts.push(entry.listening.httpPort ?? 0);
  }

  async #startProcess(
    name: string,
    args: readonly string[],
  ): Promise<StartedProcess> {
    const startedProcess = await StartedProcess.start(name, args);
    this.#processes.push(startedProcess);
    return startedProcess;
  }
}

function readDeclarationFiles(): readonly DeclarationFile[] {
  return readdirSync(DECLARATIONS_DIRECTORY)
    .filter((name) => name.endsWith(".toml") && name !== GUARANTEES_FILE)
    .map((name) => ({
      name,
      text: readFileSync(join(DECLARATIONS_DIRECTORY, name), "utf8"),
    }));
}

function parseDeclarationFiles(
  files: readonly DeclarationFile[],
): Declarations {
  const outcome = parseDeclarations(files);
  if (outcome.kind === "valid") return outcome.declarations;
  throw new Error(outcome.problems.map(formatProblem).join("\n"));
}

/**
 * Declares the workers to the stand-in platform, and registers runners without starting them: an idle
 * deployment only reads them from the list of VMs.
 */
async function registerWorkersAndRunners(
  port: number,
  declarations: Declarations,
): Promise<void> {
  const client = HttpClient.create({ host: HOST, port });
  const post = (path: string, content: object) =>
    client.postJson(path, content, CALL_TIMEOUT_MS);
  for (const { name, racks } of declarations.failureDomains) {
    const workers = racks.flatMap((rack) =>
      rack.workers.map((worker) => ({ ...worker, rack: rack.name }))
    );
    await post("/fleet/workers", { failureDomain: name, workers });
  }
  for (let index = 0; index < RUNNER_COUNT; index++) {
    await post("/vms/register", {
      name: `runner-${index}`,
      role: "runner",
      state: "live",
      host: HOST,
      port: 9,
      service: "quoting",
      failureDomain: declarations.failureDomains[index % 3]?.name,
      slots: 8,
    });
  }
  client.close();
}

function callEntry(
  port: number,
  path: string,
  init: RequestInit = {},
): Promise<Response> {
  return fetch(`http://${HOST}:${port}${path}`, {
    ...init,
    headers: {
      authorization: `Bearer ${OPERATOR_TOKEN}`,
      "content-type": "application/json",
      ...init.headers,
    },
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
}

/** Applies the declarations; retries, because the entry may still be registering. */
async function applyDeclarations(
  port: number,
  files: readonly DeclarationFile[],
): Promise<void> {
  await retryUntilReady(async () => {
    const response = await callEntry(port, "/v1/configuration", {
      method: "PUT",
      headers: { "if-match": '"0"' },
      body: JSON.stringify({ files }),
    });
    return response.ok ? undefined : await response.text();
  });
}

async function waitUntilReady(port: number): Promise<void> {
  await retryUntilReady(async () => {
    const response = await callEntry(port, "/readyz");
    return response.ok ? undefined : await response.text();
  });
}

/**
 * Repeats `attempt` until it returns undefined. Throws the last error text that it returned once
 * RETRY_TIMEOUT_MS have passed.
 */
async function retryUntilReady(
  attempt: () => Promise<string | undefined>,
): Promise<void> {
  const endMs = performance.now() + RETRY_TIMEOUT_MS;
  for (;;) {
    const fault = await attempt();
    if (fault === undefined) return;
    if (performance.now() > endMs) throw new Error(fault);
    await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
  }
}
