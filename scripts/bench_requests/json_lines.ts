/** Commands and replies as JSON lines over a child's standard streams, one reply to each command. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

/** Answers each command on standard input with one line, until the input ends. */
export async function serveCommands<Command, Reply>(
  handle: (command: Command) => Promise<Reply>,
): Promise<void> {
  for await (const line of createInterface({ input: process.stdin })) {
    const reply = await handle(JSON.parse(line) as Command);
    process.stdout.write(`${JSON.stringify(reply)}\n`);
  }
  process.exit(0);
}

/** A child program of the bench. */
export class ChildProgram<Command, Reply> {
  readonly #process: ChildProcess;
  readonly #lines: AsyncIterator<string>;

  private constructor(program: string) {
    this.#process = spawn(process.execPath, [program], {
      stdio: ["pipe", "pipe", "inherit"],
    });
    const input = this.#process.stdout;
    if (input === null) throw new Error("the child has no output");
    this.#lines = createInterface({ input })[Symbol.asyncIterator]();
  }

  static create<Command, Reply>(program: string): ChildProgram<Command, Reply> {
    return new ChildProgram<Command, Reply>(program);
  }

  async ask(command: Command): Promise<Reply> {
    this.#process.stdin?.write(`${JSON.stringify(command)}\n`);
    const { value, done } = await this.#lines.next();
    if (done === true) throw new Error("the child has ended");
    return JSON.parse(value) as Reply;
  }

  /** Ends the child; it has no state worth keeping. */
  async stop(): Promise<void> {
    if (this.#process.exitCode !== null) return;
    const exited = once(this.#process, "exit");
    this.#process.kill("SIGKILL");
    await exited;
  }
}
