/**
 * A small stand-in for a runner, as PROTOCOL.md describes it. It is sound: it runs a task for the
 * `workMs` in the job's `spec`, guards its capacity, keeps the highest fence, lets leases lapse and
 * lists ends until they are acknowledged. A gang's tasks work once all of one run are present.
 * `crash()` ends the process's life: connections are reset, the port refuses, and `revive()` begins a
 * new life at the same address that runs and knows nothing.
 */
import { createServer } from "node:http";

const LISTED_ENDS = 500;

/** Present members of gangs, by job, step and run. */
export class Gangs {
  #present = new Map();
  /** Gangs of which a member has ended `done`, so that all members do. */
  done = new Set();
  join(key, run) {
    const members = this.#present.get(key) ?? new Set();
    members.add(run);
    this.#present.set(key, members);
  }
  leave(key, run) {
    this.#present.get(key)?.delete(run);
  }
  count(key) {
    return this.#present.get(key)?.size ?? 0;
  }
}

export class Runner {
  #server;
  #running = new Map();
  #finished = [];
  #closed = new Map();
  #sequence = 0;
  #fence = 0;
  #leaseMs = 0;
  #waiters = new Set();
  #beat = 0;
  #timers = [];
  isUp = false;
  /** Set to a function that may answer a start instead of the runner, for instance with 429. */
  refuseStart = () => undefined;

  constructor({ id, host, zone, service, labels, capacity, bounds, heartbeatMs, store, record, gangs }) {
    Object.assign(this, { id, host, zone, service, labels, capacity, bounds, heartbeatMs, store, record, gangs });
  }

  async start(port = 0) {
    this.#server = createServer((incoming, response) => this.#serve(incoming, response));
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, this.host, resolve);
    });
    this.port = this.#server.address().port;
    this.born = Date.now();
    this.#startMs = performance.now();
    this.isUp = true;
    this.#beatNow();
    this.#timers = [
      setInterval(() => this.#beatNow(), this.heartbeatMs),
      setInterval(() => this.#tick(), 20),
    ];
  }
  #startMs = 0;

  get clockMs() {
    return Math.round(performance.now() - this.#startMs);
  }

  get runningTasks() {
    return [...this.#running.values()];
  }

  /** The life ends without a word. The store removes the entry after three missed heartbeats. */
  crash() {
    this.record("runner crashes", { runner: this.id, running: this.runningTasks.map(({ task, runId }) => [task, runId]) });
    this.#end();
    this.#expiry = setTimeout(() => this.store.put("servers", this.id, undefined), 3 * this.heartbeatMs);
  }
  #expiry;

  async revive() {
    clearTimeout(this.#expiry);
    await this.start(this.port);
    this.record("runner is back", { runner: this.id, born: this.born });
  }

  close() {
    clearTimeout(this.#expiry);
    this.#end();
  }

  #end() {
    this.isUp = false;
    this.#timers.forEach(clearInterval);
    for (const run of this.#running.values()) if (run.gangKey) this.gangs.leave(run.gangKey, run);
    this.#running.clear();
    this.#finished = [];
    this.#closed.clear();
    this.#sequence = 0;
    this.#fence = 0;
    this.#leaseMs = 0;
    this.#waiters.clear();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #beatNow() {
    this.store.put("servers", this.id, {
      service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: "v1", slots: 8,
      state: "ready", coldRemainingMs: 0, capacity: this.capacity, labels: this.labels, clockMs: this.clockMs,
      born: this.born, seq: ++this.#beat,
    });
  }

  #tick() {
    const nowMs = this.clockMs;
    for (const run of [...this.#running.values()]) {
      if (nowMs > this.#leaseMs) {
        this.#finish(run, "lapsed");
        continue;
      }
      if (run.gangKey !== undefined && run.workingMs === undefined) {
        if (this.gangs.count(run.gangKey) === run.gangCount) run.workingMs = nowMs;
        else if (nowMs - run.startMs > this.bounds.gangTimeoutMs) this.#finish(run, "alone");
        continue;
      }
      if (run.failAfterMs !== undefined && nowMs - run.workingMs >= run.failAfterMs) {
        this.#finish(run, "failed");
      } else if (run.isPersistent) {
        continue;
      } else if (nowMs - run.workingMs >= run.workMs || this.gangs.done.has(run.gangKey)) {
        if (run.gangKey !== undefined) this.gangs.done.add(run.gangKey);
        this.#finish(run, "done");
      } else if (run.gangKey !== undefined && this.gangs.count(run.gangKey) < run.gangCount) {
        this.#finish(run, "broken");
      }
    }
  }

  #finish(run, how) {
    if (!this.#running.delete(run.task)) return;
    this.#finished.push([++this.#sequence, run.task, run.runId, how, ""]);
    this.#closed.set(run.task, run.runId);
    this.record("run ends", { task: run.task, runId: run.runId, runner: this.id, how });
    if (run.gangKey !== undefined) {
      const key = run.gangKey;
      run.gangKey = undefined;
      this.gangs.leave(key, run);
    }
    for (const waiter of [...this.#waiters]) waiter();
  }

  async #serve(incoming, response) {
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      return;
    }
    const answer = (status, fields) => {
      if (!this.isUp || response.destroyed) return;
      const text = JSON.stringify({ clockMs: this.clockMs, born: this.born, ...fields });
      response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
      response.end(text);
    };
    const instance = incoming.headers["expect-instance"];
    if (instance !== undefined && instance !== this.id) return answer(421, {});
    const call = JSON.parse(Buffer.concat(chunks).toString());
    const fence = call.fence ?? 0;
    if (fence < this.#fence) return answer(409, { reason: "fence" });
    this.#fence = fence;
    switch (incoming.url) {
      case "/-/hold":
        return this.#hold(call, answer);
      case "/-/run-start":
        return this.#startRun(call, answer);
      case "/-/run-stop":
        return this.#stopRun(call, answer);
      default:
        return answer(404, {});
    }
  }

  #extend(deadlineMs) {
    if (deadlineMs === undefined) return;
    const end = Math.min(deadlineMs, this.clockMs + this.bounds.maxHoldMs);
    this.#leaseMs = Math.max(this.#leaseMs, end);
  }

  #hold({ deadlineMs, lastSeen = 0, waitMs = 0 }, answer) {
    this.#extend(deadlineMs);
    this.#finished = this.#finished.filter(([number]) => number > lastSeen);
    let timer;
    const finish = () => {
      clearTimeout(timer);
      this.#waiters.delete(finish);
      answer(200, {
        running: this.runningTasks.map((run) => [run.task, run.runId, "", this.#percent(run), run.cpu]),
        finished: this.#finished.slice(0, LISTED_ENDS),
      });
    };
    if (waitMs === 0 || this.#finished.length > 0) return finish();
    timer = setTimeout(finish, Math.min(2_000, waitMs));
    this.#waiters.add(finish);
  }

  #percent({ workingMs, workMs, isPersistent }) {
    if (isPersistent) return workingMs === undefined ? 0 : 100;
    return workingMs === undefined ? 0 : Math.min(99, Math.floor(100 * (this.clockMs - workingMs) / workMs));
  }

  #startRun({ task, runId, spec, deadlineMs }, answer) {
    const refusal = this.refuseStart(task);
    if (refusal !== undefined) {
      this.record("start refused", { task, runId, runner: this.id, status: refusal });
      return answer(refusal, {});
    }
    const present = this.#running.get(task);
    if (present?.runId === runId) return answer(200, {});
    if (deadlineMs < this.clockMs) return answer(409, { reason: "late" });
    const isOld = (this.#closed.get(task) ?? 0) >= runId || present !== undefined;
    if (isOld) {
      this.#extend(deadlineMs);
      return answer(409, { reason: "old" });
    }
    const [jobId, occurrence, step] = task.split(".");
    const work = JSON.parse(spec)[Number(step)];
    const isOver = ["cpu", "memMb", "gpu"].some((resource) =>
      this.runningTasks.reduce((sum, run) => sum + run[resource], work[resource] ?? 0) > this.capacity[resource]
    );
    if (isOver) {
      this.#extend(deadlineMs);
      return answer(409, { reason: "room" });
    }
    this.#extend(deadlineMs);
    const gangKey = work.gang ? `${jobId}.${occurrence}.${step}#${runId}` : undefined;
    const nowMs = this.clockMs;
    const run = {
      task, runId, workMs: work.workMs, startMs: nowMs, workingMs: gangKey === undefined ? nowMs : undefined,
      isPersistent: work.persistent === true, failAfterMs: work.failAfterMs,
      cpu: work.cpu ?? 0, memMb: work.memMb ?? 0, gpu: work.gpu ?? 0, gangKey, gangCount: work.gang ? work.count : 1,
    };
    this.#running.set(task, run);
    if (gangKey !== undefined) this.gangs.join(gangKey, run);
    this.record("run starts", { task, runId, runner: this.id });
    this.onStarted?.(task, runId);
    answer(200, {});
  }
  onStarted;

  #stopRun({ task, runId }, answer) {
    const present = this.#running.get(task);
    if (present !== undefined && present.runId <= runId) {
      setTimeout(() => this.#finish(present, "stopped"), this.bounds.stopTimeoutMs / 2);
    } else {
      this.#closed.set(task, Math.max(runId, this.#closed.get(task) ?? 0));
    }
    answer(200, {});
  }
}
