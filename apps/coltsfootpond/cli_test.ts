import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";
import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { runCli } from "./cli.ts";
import { EXIT_CODE } from "./exit_codes.ts";
import { COMMANDS } from "./registry.ts";

interface FakeReply {
  readonly status: number;
  readonly content: object;
}

interface Run {
  readonly exitCode: number;
  readonly output: readonly string[];
  readonly errors: readonly string[];
}

const VALID_FILE = {
  name: "operators.toml",
  text: `operator_token_digests = ["${"a".repeat(64)}"]`,
};
const STATUS = {
  entry: "e1",
  failureDomain: "d1",
  configuration: { version: 2, confirmedAgeMs: 10, fresh: true },
  members: [],
  failureDomains: [{
    failureDomain: "d1",
    state: "out",
    version: 3,
    provisional: true,
    owner: "e1",
  }],
  job: {
    jobId: "o/r",
    state: "queued",
    failureDomain: "d1",
    waitReason: "quota",
  },
};

function createProblem(status: number, resultClass: string): FakeReply {
  return {
    status,
    content: { status, code: 1, class: resultClass, title: "title" },
  };
}

/** An HTTP server in place of an entry: records each request and sends one reply per path. */
class FakeEntry {
  readonly requests: string[] = [];
  readonly #server: Server;

  private constructor(replies: Readonly<Record<string, FakeReply>>) {
    this.#server = createServer((incoming, response) => {
      void this.#record(incoming).then(() => {
        const reply = replies[incoming.url ?? ""] ??
          { status: 204, content: {} };
        response.writeHead(reply.status, {
          "content-type": reply.status < 400
            ? "application/json"
            : "application/problem+json",
        });
        response.end(JSON.stringify(reply.content));
      });
    });
  }

  static async create(
    replies: Readonly<Record<string, FakeReply>>,
  ): Promise<FakeEntry> {
    const entry = new FakeEntry(replies);
    await new Promise<void>((resolve) =>
      entry.#server.listen(0, "127.0.0.1", resolve)
    );
    return entry;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #record(incoming: IncomingMessage): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) chunks.push(chunk as Buffer);
    const kept = ["authorization", "if-match", "prefer", "idempotency-key"]
      .flatMap((name) => incoming.headers[name] ?? []);
    this.requests.push(
      [incoming.method, incoming.url, ...kept, Buffer.concat(chunks)].join(" "),
    );
  }
}

async function run(
  argv: readonly string[],
  variables: Readonly<Record<string, string>> = {},
  files = [VALID_FILE],
): Promise<Run> {
  const output: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCli(argv, {
    clock: ManualClock.create(),
    variables,
    print: (line) => void output.push(line),
    printError: (line) => void errors.push(line),
    readFile: () => Promise.resolve(Buffer.from("from a file")),
    readDeclarations: () => Promise.resolve(files),
  });
  return { exitCode, output, errors };
}

describe("coltsfootpond", () => {
  it("prints help for every command", async () => {
    const names = COMMANDS.map(({ usage }) => usage.split(" ")[0] ?? "");
    const runs = await Promise.all(
      [[], ...names.map((name) => [name])].map((argv) =>
        run([...argv, "--help"])
      ),
    );
    expect(runs.map(({ exitCode }) => exitCode)).to.satisfy(
      (codes: number[]) => codes.every((code) => code === EXIT_CODE.OK),
    );
    expect(runs.flatMap(({ output }) => output).join("\n")).toMatchSnapshot();
  });

  it("rejects an invalid command line with the usage exit code", async () => {
    const lines = [
      "",
      "nonsense",
      "status --nonsense",
      "submit",
      "domain sideways",
      "domain out",
      "--entry nowhere status",
    ];
    const runs = await Promise.all(lines.map((line) => run(line.split(" "))));
    expect(runs.map(({ exitCode }) => exitCode))
      .to.deep.equal(lines.map(() => EXIT_CODE.USAGE));
    expect(runs.map(({ errors }) => errors.length > 0))
      .to.deep.equal(lines.map(() => true));
  });

  it("checks declarations without an entry", async () => {
    const broken = { name: "services.toml", text: "[[services]]\nnane = 1" };
    expect(await run(["check", "dir"])).toMatchSnapshot();
    expect(await run(["check", "dir"], {}, [VALID_FILE, broken]))
      .toMatchSnapshot();
  });

  it("sends the API request of each command", async () => {
    const entry = await FakeEntry.create({
      "/v1/status?job=o%2Fr": { status: 200, content: STATUS },
      "/v1/configuration": { status: 200, content: { version: 2 } },
      "/v1/failure-domains": { status: 200, content: STATUS },
      "/v1/failure-domains/d1/out": {
        status: 200,
        content: {
          failureDomain: "d1",
          state: "out",
          version: 4,
          durable: false,
          ownerAcknowledged: false,
          inForceEntries: ["e1"],
          registeredEntries: 2,
        },
      },
      "/v1/services/survey/requests": { status: 202, content: {} },
      "/v1/requests/r1": { status: 200, content: { answer: 1 } },
    });
    const variables = {
      COLTSFOOTPOND_ENTRY: `127.0.0.1:1,${entry.address}`,
      COLTSFOOTPOND_TOKEN: "secret",
    };
    const lines = [
      "status --job o/r",
      "apply dir",
      "apply dir --base-version 7",
      "domain list",
      "domain out d1",
      "submit survey --data body --request-id r1 --async",
      "submit survey --file f --request-id r2 --wait-ms 1500",
      "get r1",
      "cancel r1 --json",
    ];
    const seen: unknown[] = [];
    for (const line of lines) {
      const { exitCode, output } = await run(line.split(" "), variables);
      seen.push({ line, exitCode, output });
    }
    entry.close();
    expect({ seen, requests: entry.requests }).toMatchSnapshot();
  });

  it("maps each kind of problem to its exit code", async () => {
    const entry = await FakeEntry.create({
      "/v1/requests/denied": createProblem(401, "not_run"),
      "/v1/requests/conflict": createProblem(409, "not_run"),
      "/v1/requests/invalid": createProblem(422, "not_run"),
      "/v1/requests/busy": createProblem(503, "not_run"),
      "/v1/requests/lost": createProblem(409, "unknown"),
      "/v1/requests/failed": createProblem(500, "answered"),
    });
    const names = ["denied", "conflict", "invalid", "busy", "lost", "failed"];
    const codes: number[] = [];
    for (const name of names) {
      const { exitCode } = await run(["get", name, "--entry", entry.address]);
      codes.push(exitCode);
    }
    entry.close();
    const { exitCode } = await run(["get", "x", "--entry", "127.0.0.1:1"]);
    expect([...codes, exitCode]).to.deep.equal([8, 4, 3, 5, 6, 9, 7]);
  });
});
