/**
 * Looks for work in the sources of the cell that no caller awaits and that has no owner: its first
 * error would be nobody's, and the activity would be over (decision 0013).
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect } from "chai";

const SOURCE_FOLDERS = ["packages/node/cell", "apps/coltsfootpond_scheduler"];
/** The owners themselves, and what stands for other processes in tests. */
const OTHER_SOURCES =
  /_test\.ts$|\/(?:background|fakes|faults)\/|cell_simulation\.ts$|workers_fake\.ts$|test_fixtures\.ts$/;

/** What has to be written with one of the functions of `background/`, and what to use. */
const PATTERNS: Readonly<Record<string, RegExp>> = {
  "a promise that is dropped; use runInBackground":
    /(?<![:|<=>]\s*)\bvoid (?:this\.|\(|[A-Za-z_.#?]+\()/g,
  "a subscriber; use subscribeGuarded or TableFollower.onChanged":
    /\.subscribe\(/g,
  "a timer's callback; use guard":
    /\bclock\.(?:every|after)\((?:[^()]|\([^()]*\))*?,\s*(?!guard\()(?:async )?(?:\([^()]*\)|[\w.]+) =>/g,
  "a server's handler; use guardRequestListener":
    /\bcreateServer\((?!\s*guardRequestListener\()(?!\w+\))/g,
  "a handler without an awaiting caller; use guard":
    /\.(?:on|once)\("[a-z]+", async/g,
};

interface Finding {
  readonly file: string;
  readonly line: number;
  readonly problem: string;
}

function findUnowned(file: string, text: string): readonly Finding[] {
  return Object.entries(PATTERNS).flatMap(([problem, pattern]) =>
    [...text.matchAll(pattern)].map(({ index }) => ({
      file,
      line: text.slice(0, index).split("\n").length,
      problem,
    }))
  );
}

function listSources(): readonly string[] {
  return SOURCE_FOLDERS.flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
      .map((name) => join(folder, name))
      .filter((file) => file.endsWith(".ts") && !OTHER_SOURCES.test(file))
  );
}

describe("background work of the scheduler", () => {
  it("has an owner wherever it is started", () => {
    const findings = listSources().flatMap((file) =>
      findUnowned(file, readFileSync(file, "utf8"))
    );
    expect(findings).to.deep.equal([]);
  });

  // Guards against a search that finds nothing.
  it("is found in each form that it had before incident 0009", () => {
    const forms = [
      "void this.#pollLoop();",
      "else void session.stopTaskRun(taskRun);",
      "changes.subscribe((rows) => this.#applyRows(rows));",
      "clock.every(TICK_PERIOD_MS, () => this.#tick()),",
      "this.#timer = clock.after(\n  Math.max(0, dueMs),\n  () => this.#run(),\n);",
      "createServer(async (incoming, response) => {",
      'source.on("data", async (chunk) => {',
    ];
    for (const form of forms) {
      expect(findUnowned("", form), form).to.have.lengthOf(1);
    }
  });

  it("is not found in other code", () => {
    const others = [
      "stop(): void {",
      "readonly onNews: (reason: string) => void;",
      "reject: (error: unknown) => void",
      "async run(): Promise<void> {",
      "clock.every(periodMs, guard(log, TICK, () => this.#tick()));",
      "clock.after(timeoutMs, resolve);",
      "createServer(guardRequestListener(log, SERVE_PEER, listener));",
      "createServer(\n  guardRequestListener(log, SERVE_PEER, listener),\n);",
      "this.#losses.unsubscribe();",
    ];
    for (const text of others) {
      expect(findUnowned("", text), text).to.deep.equal([]);
    }
  });
});
