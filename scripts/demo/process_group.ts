/**
 * Starts programs of `dist/` as child processes, at most 24 of them, and ends them all with the
 * parent process, each by its own id.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";

const MAXIMUM_PROCESSES = 24;
const START_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 5_000;

export interface ProcessStartOptions {
  /** Also names the log file, `NAME.log`. */
  readonly name: string;
  /** File name in `dist/`. */
  readonly program: string;
  readonly args: readonly string[];
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

/** A child process that has printed its announcement. */
export interface StartedProcess {
  readonly name: string;
  /** The first line of its standard output, parsed as JSON. */
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
      () => fail("printed no announcement before the timeout"),
      START_TIMEOUT_MS,
    );
    child.once("error", (error) => fail(error.message));
    child.once("exit", (code, signal) => {
      clearTimeout(timer);
      fail(`exited with ${code ?? signal} before its announcement`);
    });
    if (child.stdout === null) return fail("has no standard output to read");
    const lines = createInterface({ input: child.stdout });
    lines.once("line", (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as Readonly<Record<string, unknown>>);
    });
    lines.on("line", () => {});
  });
}

/** The child processes; their standard error goes to `NAME.log` in the log directory. */
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

  /** Resolves when the process has printed its announcement. */
  async start(request: ProcessStartOptions): Promise<StartedProcess> {
    if (++this.#started > MAXIMUM_PROCESSES) {
      throw new Error("the process limit of the group is reached");
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

  /** Sends SIGTERM to all, and SIGKILL after 5 s to those that still run. */
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
