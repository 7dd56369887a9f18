/** The demo's processes: a bounded number, each ended by its own id, none left behind. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";

const MAXIMUM_PROCESSES = 24;
const START_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 5_000;

export interface ProcessStartOptions {
  readonly name: string;
  readonly program: string;
  readonly args: readonly string[];
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

export interface StartedProcess {
  readonly name: string;
  /** The first line that it printed, parsed. */
  readonly announcement: Readonly<Record<string, unknown>>;
  readonly ended: Promise<ProcessEnd>;
  kill(signal: "SIGTERM" | "SIGKILL"): void;
}

function readAnnouncement(
  child: ChildProcess,
  name: string,
  logPath: string,
): Promise<Readonly<Record<string, unknown>>> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string) =>
      reject(new Error(`${name} ${reason}; see ${logPath}`));
    const timer = setTimeout(
      () => fail("did not start in time"),
      START_TIMEOUT_MS,
    );
    child.once("error", (error) => fail(error.message));
    child.once("exit", (code, signal) => {
      clearTimeout(timer);
      fail(`ended at start with ${code ?? signal}`);
    });
    if (child.stdout === null) return fail("has no output");
    const lines = createInterface({ input: child.stdout });
    lines.once("line", (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as Readonly<Record<string, unknown>>);
    });
    lines.on("line", () => {});
  });
}

/** Starts and ends processes. */
export class ProcessGroup {
  readonly #logDirectory: string;
  readonly #children = new Map<ChildProcess, Promise<ProcessEnd>>();
  readonly #killAll = () => this.#signalAll("SIGKILL");
  #started = 0;

  private constructor(logDirectory: string) {
    this.#logDirectory = logDirectory;
    process.once("exit", this.#killAll);
  }

  static create(logDirectory: string): ProcessGroup {
    return new ProcessGroup(logDirectory);
  }

  get running(): number {
    return this.#children.size;
  }

  /** Resolves when the process has announced itself. */
  async start(request: ProcessStartOptions): Promise<StartedProcess> {
    if (++this.#started > MAXIMUM_PROCESSES) {
      throw new Error("too many processes");
    }
    const { name, program, args } = request;
    const logPath = join(this.#logDirectory, `${name}.log`);
    const log = openSync(logPath, "w");
    const child = spawn(process.execPath, [join("dist", program), ...args], {
      stdio: ["ignore", "pipe", log],
    });
    closeSync(log);
    const ended = new Promise<ProcessEnd>((resolve) =>
      child.once("exit", (code, signal) => {
        this.#children.delete(child);
        resolve({ code, signal });
      })
    );
    this.#children.set(child, ended);
    const announcement = await readAnnouncement(child, name, logPath);
    return {
      name,
      announcement,
      ended,
      kill: (signal) => void child.kill(signal),
    };
  }

  /** Asks all to end, then ends those that have not. */
  async stopAll(): Promise<void> {
    this.#signalAll("SIGTERM");
    const timer = setTimeout(this.#killAll, STOP_TIMEOUT_MS);
    await Promise.all(this.#children.values());
    clearTimeout(timer);
    process.removeListener("exit", this.#killAll);
  }

  #signalAll(signal: "SIGTERM" | "SIGKILL"): void {
    for (const child of this.#children.keys()) child.kill(signal);
  }
}
