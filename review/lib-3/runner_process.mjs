// Starts, kills and restarts runners that are processes of their own.
import { join } from "node:path";
import { freePort, ROOT } from "./cell.mjs";

const HEARTBEATS_TO_REMOVAL = 3;
const HEARTBEAT_MS = 1_500;

export class RunnerProcess {
  /** Runs and ends, as the runner has told them: { event, fields, atMs }. */
  events = [];
  born = 0;

  constructor(test, store, options) {
    Object.assign(this, { test, store, options });
  }

  static async create(test, store, options) {
    const runner = new RunnerProcess(test, store, { ...options, port: await freePort() });
    const sweep = setInterval(() => runner.#removeIfSilent(), 200);
    test.cleanups.push(() => clearInterval(sweep));
    return runner;
  }

  start() {
    const env = { RUNNER: JSON.stringify(this.options) };
    const child = this.test.spawn(this.options.id, process.execPath, [join(ROOT, "review/lib-3/runner_main.mjs")], env);
    this.child = child;
    child.on("message", (message) => {
      if (message.entry !== undefined) {
        this.born = message.entry.born;
        this.lastBeatMs = performance.now();
        this.store.putJson("servers", this.options.id, message.entry);
        return;
      }
      this.events.push({ ...message, atMs: performance.now() });
      this.test.note(`runner ${message.event}`, message.fields);
    });
  }

  /** It runs nothing from now on; its entry goes after three heartbeats of silence. */
  kill() {
    this.test.note("signal", { name: this.options.id, signal: "SIGKILL" });
    this.child.kill("SIGKILL");
  }

  #removeIfSilent() {
    if (this.lastBeatMs === undefined) return;
    if (performance.now() - this.lastBeatMs < HEARTBEATS_TO_REMOVAL * HEARTBEAT_MS) return;
    this.lastBeatMs = undefined;
    this.store.drop("servers", this.options.id);
  }
}
