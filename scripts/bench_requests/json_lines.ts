/**
 * Exchanges commands and replies between the main process and its child programs: one JSON line each
 * over the child's standard streams, one reply to each command.
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

/** Replies to each command on standard input with one line; ends the process when the input ends. */
export async function serveCommands<Command, Reply>(
  handle: (command: Command) => Promise<Reply>,
): Promise<void> {
  for await (const line of createInterface({ input: process.stdin })) {
    const reply = await handle(JSON.parse(line) as Command);
    process.stdout.write(`${JSON.stringify(reply)}\n`);
  }
  process.exit(0);
}

/** A running child program. Callers must wait for the reply to a command before they send another. */
export class ChildProgram<Command, Reply> {
  readonly #process: ChildProcess;
  readonly #lines: AsyncIterator<string>;

  private constructor(program: string) {
    this.#process = spawn(process.execPath, [program], {
      stdio: ["pipe", "pipe", "inherit"],
    });
    const input = this.#process.stdout;
    if (input === null) {
      throw new Error("the standard output of the child program is no pipe");
    }
    this.#lines = createInterface({ input })[Symbol.asyncIterator]();
  }

  static create<Command, Reply>(program: string): ChildProgram<Command, Reply> {
    return new ChildProgram<Command, Reply>(program);
  }

  /** Rejects when the child program ends before its reply. */
  async sendCommand(command: Command): Promise<Reply> {
    this.#process.stdin?.write(`${JSON.stringify(command)}\n`);
    const { value, done } = await this.#lines.next();
    if (done === true) {
      throw new Error("the child program ended before its reply");
    }
    return JSON.parse(value) as Reply;
  }

  /** Kills the child program, which has no state to save, and waits for its end. */
  async stop(): Promise<void> {
    if (this.#process.exitCode !== null) return;
    const exited = once(this.#process, "exit");
    this.#process.kill("SIGKILL");
    await exited;
  }
}
