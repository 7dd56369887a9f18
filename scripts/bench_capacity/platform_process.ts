/** The platform stand-in as a process of its own, so that its work is not counted as ours. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

const START_TIMEOUT_MS = 15_000;

/** A running stand-in. */
export interface PlatformProcess {
  readonly port: number;
  stop(): Promise<void>;
}

/** Starts the stand-in on a free port of the loopback. */
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

async function readPort(child: ChildProcess): Promise<number> {
  const { stdout } = child;
  if (stdout === null) throw new Error("the stand-in has no output");
  const signal = AbortSignal.timeout(START_TIMEOUT_MS);
  const lines = createInterface({ input: stdout });
  const [line] = await once(lines, "line", { signal });
  const { port } = JSON.parse(String(line)) as { readonly port: number };
  return port;
}
