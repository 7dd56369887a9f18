/** An idle deployment of today's size as real processes on the loopback. */
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
const DECLARATIONS = "examples/lechfeld";
/** Left out: idle traffic does not depend on the guarantees. */
const GUARANTEES = "guarantees.toml";
/** Of the examples' operator. */
const OPERATOR_TOKEN = "example-token-operator";
const RUNNERS = 30;
const CALL_TIMEOUT_MS = 5_000;
const READY_POLL_MS = 250;
const READY_TIMEOUT_MS = 30_000;

/** Processes of one run; `stop` ends all of them. */
export class IdleDeployment {
  readonly #folder = mkdtempSync(join(tmpdir(), "coltsfootpond-idle-"));
  readonly #programs: StartedProcess[] = [];
  readonly #entryPorts: number[] = [];

  private constructor() {}

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
    await Promise.all(this.#programs.reverse().map((one) => one.stop()));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** The text of every entry's meters. */
  readMeters(): Promise<readonly string[]> {
    return Promise.all(
      this.#entryPorts.map(async (port) =>
        await (await callEntry(port, "/v1/metrics")).text()
      ),
    );
  }

  async #start(entries: number): Promise<void> {
    const files = readDeclarationFiles();
    const declarations = checkDeclarations(files);
    const platform = await this.#run("platform", []);
    const platformPort = platform.listening.port ?? 0;
    await preparePlatform(platformPort, declarations);
    for (let index = 0; index < entries; index++) {
      await this.#startEntry(index, platformPort, declarations);
    }
    const [firstPort = 0] = this.#entryPorts;
    await apply(firstPort, files);
    await Promise.all(this.#entryPorts.map(waitUntilReady));
  }

  async #startEntry(
    index: number,
    platformPort: number,
    declarations: Declarations,
  ): Promise<void> {
    const { failureDomains, operatorTokenDigests } = declarations;
    const home = failureDomains[index % failureDomains.length];
    const settings = [
      `entry = "entry-${index + 1}"`,
      `region = "${home?.region}"`,
      `failure_domain = "${home?.name}"`,
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
    const path = join(this.#folder, `entry-${index + 1}.toml`);
    writeFileSync(path, settings.join("\n"));
    const entry = await this.#run("coltsfootpondd", ["--settings", path]);
    this.#entryPorts.push(entry.listening.httpPort ?? 0);
  }

  async #run(name: string, args: readonly string[]): Promise<StartedProcess> {
    const program = await StartedProcess.start(name, args);
    this.#programs.push(program);
    return program;
  }
}

function readDeclarationFiles(): readonly DeclarationFile[] {
  return readdirSync(DECLARATIONS)
    .filter((name) => name.endsWith(".toml") && name !== GUARANTEES)
    .map((name) => ({
      name,
      text: readFileSync(join(DECLARATIONS, name), "utf8"),
    }));
}

function checkDeclarations(files: readonly DeclarationFile[]): Declarations {
  const outcome = parseDeclarations(files);
  if (outcome.kind === "valid") return outcome.declarations;
  throw new Error(outcome.problems.map(formatProblem).join("\n"));
}

/** Declares the workers, and runners that only stand in the list. */
async function preparePlatform(
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
  for (let index = 0; index < RUNNERS; index++) {
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

/** The entry may still be registering: tries again while the time lasts. */
async function apply(
  port: number,
  files: readonly DeclarationFile[],
): Promise<void> {
  await poll(async () => {
    const response = await callEntry(port, "/v1/configuration", {
      method: "PUT",
      headers: { "if-match": '"0"' },
      body: JSON.stringify({ files }),
    });
    return response.ok ? undefined : await response.text();
  });
}

async function waitUntilReady(port: number): Promise<void> {
  await poll(async () => {
    const response = await callEntry(port, "/readyz");
    return response.ok ? undefined : await response.text();
  });
}

/** Repeats until `attempt` gives no fault. */
async function poll(
  attempt: () => Promise<string | undefined>,
): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const fault = await attempt();
    if (fault === undefined) return;
    if (performance.now() > endMs) throw new Error(fault);
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}
