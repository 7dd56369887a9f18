/**
 * Runs the platform stand-in in a separate process, so that its processor time is not measured as that
 * of an entry.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

const START_TIMEOUT_MS = 15_000;

/** A running platform stand-in. */
export interface PlatformProcess {
  readonly port: number;
  stop(): Promise<void>;
}

/** Starts the stand-in on a free loopback port; rejects when it prints no port within 15 seconds. */
export async function startPlatformProcess(): Promise<PlatformProcess> {
  const child = spawn(process.execPath, [
    "--import",
    "tsx",
    "stand_ins/platform/main.ts",
  ], { stdio: ["ignore", "pipe", "inherit"] });
  const port = await readPort(child);
  return {
    port,
    stop: async () => {
      const ended = once(child, "exit");
      child.kill("SIGTERM");
      await ended;
    },
  };
}

/** Reads the port from the first line that the stand-in prints. */
async function readPort(child: ChildProcess): Promise<number> {
  const { stdout } = child;
  if (stdout === null) {
    throw new Error("the standard output of the platform stand-in is no pipe");
  }
  const signal = AbortSignal.timeout(START_TIMEOUT_MS);
  const lines = createInterface({ input: stdout });
  const [line] = await once(lines, "line", { signal });
  const { port } = JSON.parse(String(line)) as { readonly port: number };
  return port;
}
