// A small stand-in for a runner (PROTOCOL.md, "Running tasks"). `Runner` runs in the test's own
// process, or in a process of its own (`runner_main.mjs`), which the test can kill.
import { createServer } from "node:http";

export class Runner {
  running = new Map(); // task -> { run, saved, done, startMs, workMs, ... }
  finished = []; // [n, task, run, how, saved]
  endedRuns = new Map(); // task -> highest run stopped or ended here
  number = 0;
  fence = 0;
  leaseEndMs = 0;
  waiters = new Set();
  sockets = new Set();
  seq = 0;
  starts = []; // for the record

  /**
   * options: id, service, zone, rack, kind, capacity, guards, maxHoldMs, stopMs, startMs, workMs(task) in ms,
   * checkpointMs (0: none), record(event, fields), fail(task, run) -> bool
   */
  constructor(options) {
    this.options = { guards: true, maxHoldMs: 10_000, stopMs: 100, checkpointMs: 500, fail: () => false, zone: "z1", rack: "r1", kind: "a", ...options };
    this.born = Date.now();
    this.bornMs = performance.now();
  }

  get clockMs() {
    return Math.floor(performance.now() - this.bornMs) + 1;
  }

  async listen(port = 0) {
    this.server = createServer((request, response) => this.#serve(request, response));
    this.server.keepAliveTimeout = 60_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.timer = setInterval(() => this.#tick(), 10);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  describe() {
    const { service, zone, rack, kind, capacity } = this.options;
    return {
      service, address: this.address, zone, version: "v1", slots: 8, state: this.state ?? "ready", coldRemainingMs: 0,
      capacity, labels: [kind, rack], clockMs: this.clockMs, seq: ++this.seq, born: this.born,
    };
  }

  #note(event, fields) {
    this.options.record?.(event, { runner: this.options.id, ...fields });
  }

  #end(task, how) {
    const entry = this.running.get(task);
    if (entry === undefined) return;
    this.running.delete(task);
    this.endedRuns.set(task, Math.max(entry.run, this.endedRuns.get(task) ?? 0));
    this.finished.push([++this.number, task, entry.run, how, entry.saved]);
    this.#note("end", { task, run: entry.run, how });
    for (const waiter of [...this.waiters]) waiter();
  }

  #tick() {
    const nowMs = performance.now();
    if (this.running.size > 0 && this.clockMs > this.leaseEndMs) {
      for (const task of [...this.running.keys()]) this.#end(task, "lapsed");
    }
    for (const [task, entry] of this.running) {
      if (entry.stopAtMs !== undefined) {
        if (nowMs >= entry.stopAtMs) this.#end(task, "stopped");
        continue;
      }
      const workedMs = nowMs - entry.startMs;
      const { checkpointMs } = this.options;
      if (entry.checkpoints && checkpointMs > 0 && workedMs - entry.savedMs >= checkpointMs) {
        entry.savedMs = workedMs;
        entry.saved = Math.floor(workedMs).toString(16).padStart(16, "0");
      }
      if (this.options.fail(task, entry.run, workedMs)) this.#end(task, "failed");
      else if (workedMs >= entry.workMs) this.#end(task, "done");
    }
  }

  #usedBy(extra) {
    const used = { cpu: extra.cpu, memMb: extra.memMb, gpu: extra.gpu };
    for (const { need } of this.running.values()) {
      used.cpu += need.cpu;
      used.memMb += need.memMb;
      used.gpu += need.gpu;
    }
    return used;
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const send = (status, content = {}) => {
      const body = Buffer.from(JSON.stringify({ clockMs: this.clockMs, born: this.born, ...content }));
      response.writeHead(status, { "content-type": "application/json", "content-length": body.byteLength });
      response.end(body);
    };
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.options.id) return send(421);
    let body;
    try {
      body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    } catch {
      return send(400);
    }
    const fence = body.fence ?? 0;
    if (fence < this.fence) return send(409, { reason: "fence" });
    this.fence = fence;
    switch (request.url) {
      case "/-/run-start":
        return this.#start(body, send);
      case "/-/run-stop":
        return this.#stop(body, send);
      case "/-/hold":
        return await this.#hold(body, send);
      default:
        return send(404);
    }
  }

  #extend(deadlineMs) {
    if (typeof deadlineMs !== "number") return;
    const endMs = Math.min(deadlineMs, this.clockMs + this.options.maxHoldMs);
    this.leaseEndMs = Math.max(this.leaseEndMs, endMs);
  }

  #start({ task, runId, spec, deadlineMs, lastCheckpoint = "" }, send) {
    const known = this.running.get(task);
    if (known?.run === runId) return send(200);
    if (runId <= (this.endedRuns.get(task) ?? 0) || (known !== undefined && runId < known.run)) {
      this.#extend(deadlineMs);
      return send(409, { reason: "old" });
    }
    if (deadlineMs <= this.clockMs) return send(409, { reason: "late" });
    const { need, workMs, checkpoints = false } = this.options.describeTask(task, spec);
    const used = this.#usedBy(need);
    const { capacity } = this.options;
    const fits = used.cpu <= capacity.cpu && used.memMb <= capacity.memMb && used.gpu <= capacity.gpu;
    if (known !== undefined) this.#note("second run on one runner", { task, run: runId, other: known.run });
    if (!fits && this.options.guards) {
      this.#extend(deadlineMs);
      this.#note("no room", { task, run: runId });
      return send(409, { reason: "room" });
    }
    if (this.running.size === 0) this.leaseEndMs = 0;
    this.#extend(deadlineMs);
    this.running.set(task, {
      run: runId, saved: lastCheckpoint, savedMs: 0, startMs: performance.now(), workMs, need, checkpoints, spec,
    });
    this.starts.push({ task, run: runId, atMs: Date.now() });
    this.#note("start", { task, run: runId, fence: this.fence, fits, used, running: [...this.running.keys()] });
    send(200);
  }

  #stop({ task, runId }, send) {
    this.endedRuns.set(task, Math.max(runId, this.endedRuns.get(task) ?? 0));
    const entry = this.running.get(task);
    if (entry !== undefined && entry.run <= runId && entry.stopAtMs === undefined) {
      entry.stopAtMs = performance.now() + this.options.stopMs;
      this.#note("stop", { task, run: entry.run });
    }
    send(200);
  }

  async #hold({ lastSeen = 0, deadlineMs, waitMs = 0 }, send) {
    this.#extend(deadlineMs);
    this.finished = this.finished.filter(([number]) => number > lastSeen);
    const seen = this.number;
    const endMs = performance.now() + Math.min(2_000, waitMs);
    while (this.finished.length === 0 && this.number === seen && performance.now() < endMs) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, Math.max(1, endMs - performance.now()));
        this.waiters.add(finish);
      });
    }
    const running = [...this.running].map(([task, { run, saved, startMs, workMs }]) => {
      const share = workMs === Infinity ? 100 : Math.min(99, Math.floor(100 * (performance.now() - startMs) / workMs));
      return [task, run, saved, share, 0];
    });
    send(200, { running, finished: this.finished.slice(0, 500) });
  }
}
