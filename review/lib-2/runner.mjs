// A small stand-in of a runner (PROTOCOL.md, "Running tasks"): run-start, run-stop, hold, and its
// entry in the store. `crash` ends a life without a word; `rise` begins the next one under the same
// id and at the same address.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1500;
/** How soon the other members of a gang end after one has gone. */
const BREAK_MS = 300;

/** The gangs of all runners: members work from the moment when all of one run are present. */
export class Gangs {
  #runs = new Map();

  /** `sizeOf`: the tasks of a task's gang; 0 for a task of none. */
  constructor(sizeOf, timeoutMs) {
    this.sizeOf = sizeOf;
    this.timeoutMs = timeoutMs;
  }

  #get({ task, run }) {
    const key = `${task.split(".").slice(0, 3).join(".")} ${run}`;
    const known = this.#runs.get(key) ?? { members: new Set(), completeMs: undefined, brokenMs: undefined, isDone: false };
    this.#runs.set(key, known);
    return known;
  }

  join(run) {
    const gang = this.#get(run);
    gang.members.add(run.task);
    if (gang.members.size === this.sizeOf(run.task)) gang.completeMs ??= performance.now();
  }

  leave(run, how) {
    const gang = this.#get(run);
    if (how === "done") gang.isDone = true;
    if (!gang.isDone) gang.brokenMs ??= performance.now();
  }

  /** Since when the run works, and how it ends by its gang, if it does. */
  look(run) {
    const gang = this.#get(run);
    const nowMs = performance.now();
    if (gang.isDone) return { workSinceMs: gang.completeMs, how: "done" };
    if (gang.brokenMs !== undefined && nowMs - gang.brokenMs >= BREAK_MS) return { how: "broken" };
    if (gang.completeMs === undefined && nowMs - run.startedMs >= this.timeoutMs) return { how: "alone" };
    return { workSinceMs: gang.completeMs };
  }
}

export class Runner {
  #options;
  #server;
  #sockets = new Set();
  #life;
  #seq = 0;
  #beat;
  #state = { state: "ready" };
  /** While set, calls neither arrive nor are answered; what runs goes on. */
  isCut = false;

  /** options: store, record(event), id, host, service, zone, capacity, labels, maxHoldMs,
   * stopTimeoutMs, gangs, needOf(task): its accelerators, workMs(task): Infinity for one that lasts,
   * lateMs(path): how late a call is carried out, unanswered; 0 for one that is answered,
   * ticketOf(task, id): the ticket without which a start is rejected; undefined where none is needed,
   * failsAfterMs(task, id): undefined for a task that does not fail on its own */
  constructor(options) {
    this.#options = options;
    this.id = options.id;
  }

  get isUp() {
    return this.#life !== undefined;
  }

  /** Tasks that run now, as [task, run]. */
  get running() {
    return [...this.#life?.running.values() ?? []].map(({ task, run }) => [task, run]);
  }

  async rise() {
    const life = {
      bornMs: performance.now(),
      born: Date.now(),
      fence: 0,
      leaseEndMs: 0,
      running: new Map(),
      highest: new Map(),
      ends: [],
      ended: 0,
      lapses: 0,
      isLapsed: true,
      lapsesAtEnd: new Map(),
      waiters: new Set(),
    };
    const server = createServer((request, response) => this.#serve(life, request, response));
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.port ?? 0, this.#options.host, resolve);
    });
    this.port = server.address().port;
    this.address = `${this.#options.host}:${this.port}`;
    this.#server = server;
    this.#life = life;
    this.#seq = 0;
    this.#state = { state: "ready" };
    this.#write();
    this.#beat = setInterval(() => this.#write(), HEARTBEAT_MS);
    life.ticker = setInterval(() => this.#tick(life), 10);
    this.#options.record({ event: "runner up", runner: this.id });
  }

  crash() {
    const life = this.#life;
    if (life === undefined) return;
    this.#life = undefined;
    life.isOver = true;
    clearInterval(this.#beat);
    clearInterval(life.ticker);
    for (const run of life.running.values()) this.#leaveGang(run, "crash");
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy?.() ?? socket.destroy();
    this.#options.record({ event: "runner crash", runner: this.id, lost: [...life.running.values()].map(({ task, run }) => [task, run]) });
  }

  /** Announces a planned stop; the caller lets it leave later by `crash`. */
  drain(remainingMs) {
    this.#state = { state: "draining", remainingMs };
    this.#write();
  }

  close() {
    const life = this.#life;
    this.#life = undefined;
    clearInterval(this.#beat);
    if (life === undefined) return;
    life.isOver = true;
    clearInterval(life.ticker);
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #clock(life) {
    return Math.floor(performance.now() - life.bornMs);
  }

  #write() {
    if (this.isCut) return;
    const { store, service, zone, capacity, labels } = this.#options;
    store.put("servers", this.id, {
      service, address: this.address, zone, version: "v1", slots: 8, ...this.#state, coldRemainingMs: 0,
      capacity, labels, clockMs: this.#clock(this.#life), born: this.#life.born, seq: ++this.#seq,
    });
  }

  async #serve(life, request, response) {
    try {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      if (life.isOver || this.isCut) return;
      // An order that is carried out late is not answered.
      const lateMs = this.#options.lateMs?.(request.url) ?? 0;
      if (lateMs > 0) await new Promise((resolve) => setTimeout(resolve, lateMs));
      if (life.isOver) return;
      const instance = request.headers["expect-instance"];
      const [status, answer] = instance !== undefined && instance !== this.id
        ? [421, {}]
        : await this.#answer(life, request.url, chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8")));
      if (life.isOver || this.isCut || lateMs > 0) return;
      const body = Buffer.from(JSON.stringify({ clockMs: this.#clock(life), born: life.born, ...answer }));
      response.writeHead(status, { "content-type": "application/json", "content-length": body.length });
      response.end(body);
    } catch {
      response.destroy();
    }
  }

  async #answer(life, path, call) {
    if (path === "/healthz") return [200, {}];
    const fence = call.fence ?? 0;
    if (fence < life.fence) return [409, { reason: "fence" }];
    life.fence = fence;
    switch (path) {
      case "/-/run-start":
        return this.#start(life, call);
      case "/-/run-stop":
        return this.#stop(life, call);
      case "/-/hold":
        return await this.#hold(life, call);
      default:
        return [404, {}];
    }
  }

  #extend(life, deadlineMs) {
    const { maxHoldMs } = this.#options;
    if (deadlineMs === undefined) return;
    const endMs = Math.min(deadlineMs, this.#clock(life) + maxHoldMs);
    life.leaseEndMs = Math.max(life.leaseEndMs, endMs);
  }

  #start(life, { task, runId, spec, deadlineMs, lastCheckpoint, ticket }) {
    const known = life.running.get(task);
    if (known?.run === runId) return [200, {}];
    if (deadlineMs <= this.#clock(life)) return [409, { reason: "late" }];
    this.#extend(life, deadlineMs);
    if (known !== undefined || runId <= (life.highest.get(task) ?? 0)) return [409, { reason: "old" }];
    if (this.#options.ticketOf?.(task, this.id) !== ticket) {
      this.#options.record({ event: "start rejected", runner: this.id, task, run: runId, reason: "ticket" });
      return [409, { reason: "ticket" }];
    }
    const need = this.#options.needOf(task);
    const used = [...life.running.values()].reduce((sum, run) => sum + run.need, 0);
    if (used + need > this.#options.capacity.gpu) return [409, { reason: "room" }];
    const started = { task, run: runId, spec, need, startedMs: performance.now(), workMs: this.#options.workMs(task), failsAfterMs: this.#options.failsAfterMs?.(task, this.id) };
    life.running.set(task, started);
    if (this.#isOfGang(started)) this.#options.gangs.join(started);
    this.#options.record({ event: "start", runner: this.id, task, run: runId, lastCheckpoint });
    return [200, {}];
  }

  #stop(life, { task, runId }) {
    const known = life.running.get(task);
    life.highest.set(task, Math.max(runId, life.highest.get(task) ?? 0));
    if (known !== undefined && known.run <= runId && known.stopAtMs === undefined) {
      known.stopAtMs = performance.now() + this.#options.stopTimeoutMs / 2;
    }
    return [200, {}];
  }

  async #hold(life, { deadlineMs, lastSeen = 0, waitMs = 0 }) {
    this.#extend(life, deadlineMs);
    for (const end of life.ends) {
      if (end[0] > lastSeen) continue;
      const hasLapsed = life.lapses !== life.lapsesAtEnd.get(end[0]);
      this.#options.record({ event: "noted", runner: this.id, task: end[1], run: end[2], how: end[3], hasLapsed });
    }
    life.ends = life.ends.filter(([number]) => number > lastSeen);
    if (waitMs > 0 && life.ends.length === 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          life.waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, Math.min(2000, waitMs));
        life.waiters.add(done);
      });
    }
    const running = [...life.running.values()].map((run) => [run.task, run.run, "", this.#computePercent(run)]);
    return [200, { running, finished: life.ends.slice(0, 500) }];
  }

  #isOfGang({ task }) {
    return (this.#options.gangs?.sizeOf(task) ?? 0) > 0;
  }

  #leaveGang(run, how) {
    if (this.#isOfGang(run)) this.#options.gangs.leave(run, how);
  }

  /** When it began to work; undefined before that. */
  #findWorkSince(run) {
    return this.#isOfGang(run) ? this.#options.gangs.look(run).workSinceMs : run.startedMs;
  }

  #computePercent(run) {
    const sinceMs = this.#findWorkSince(run);
    if (sinceMs === undefined) return 0;
    return Number.isFinite(run.workMs) ? Math.min(99, Math.floor(100 * (performance.now() - sinceMs) / run.workMs)) : 100;
  }

  #end(life, ended, how) {
    const { task, run } = ended;
    this.#leaveGang(ended, how);
    life.running.delete(task);
    life.highest.set(task, Math.max(run, life.highest.get(task) ?? 0));
    life.ends.push([++life.ended, task, run, how, ""]);
    life.lapsesAtEnd.set(life.ended, life.lapses);
    this.#options.record({ event: "end", runner: this.id, task, run, how });
    for (const wake of [...life.waiters]) wake();
  }

  #tick(life) {
    const nowMs = performance.now();
    const hasLapsed = this.#clock(life) > life.leaseEndMs;
    if (hasLapsed && !life.isLapsed) life.lapses++;
    life.isLapsed = hasLapsed;
    for (const run of [...life.running.values()]) {
      const byGang = this.#isOfGang(run) ? this.#options.gangs.look(run).how : undefined;
      const sinceMs = this.#findWorkSince(run) ?? Infinity;
      if (hasLapsed) this.#end(life, run, "lapsed");
      else if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) this.#end(life, run, "stopped");
      else if (run.failsAfterMs !== undefined && nowMs - sinceMs >= run.failsAfterMs) this.#end(life, run, "failed");
      else if (byGang !== undefined) this.#end(life, run, byGang);
      else if (run.stopAtMs === undefined && nowMs - sinceMs >= run.workMs) this.#end(life, run, "done");
    }
  }
}
