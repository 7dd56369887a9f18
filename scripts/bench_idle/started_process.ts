/** Starts a built program as a child process, reads where it listens, and stops it. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 10_000;

/** The ports in the JSON line that a program prints when it is ready. */
export interface ListeningPorts {
  readonly port?: number;
  readonly httpPort?: number;
}

/** A running program of `dist/`. */
export class StartedProcess {
  readonly listening: ListeningPorts;
  readonly #child: ChildProcess;

  private constructor(child: ChildProcess, listening: ListeningPorts) {
    this.#child = child;
    this.listening = listening;
  }

  /** Starts `dist/{name}.mjs` and waits until it listens. Throws if it does not within the timeout. */
  static async start(
    name: string,
    args: readonly string[],
  ): Promise<StartedProcess> {
    const child = spawn(process.execPath, [`dist/${name}.mjs`, ...args], {
      stdio: ["ignore", "pipe", "ignore"],
    });
    if (child.stdout === null) {
      throw new Error(`${name}: standard output is not a pipe`);
    }
    try {
      const signal = AbortSignal.timeout(START_TIMEOUT_MS);
      const lines = createInterface({ input: child.stdout });
      const [line] = await once(lines, "line", { signal });
      return new StartedProcess(
        child,
        JSON.parse(String(line)) as ListeningPorts,
      );
    } catch (error) {
      child.kill("SIGKILL");
      throw error;
    }
  }

  /** Sends SIGTERM, and SIGKILL if the process is still running after STOP_TIMEOUT_MS. */
  async stop(): Promise<void> {
    if (this.#child.exitCode !== null) return;
    const ended = once(this.#child, "exit");
    this.#child.kill("SIGTERM");
    const timer = setTimeout(
      () => this.#child.kill("SIGKILL"),
      STOP_TIMEOUT_MS,
    );
    await ended;
    clearTimeout(timer);
  }
}
