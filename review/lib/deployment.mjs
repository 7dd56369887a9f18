/**
 * A small deployment for a case: the platform's store, runners, the operator's desired state and the
 * balancer as stand-ins in this process, and one process of the project per machine, started with
 * the command of the deploy file. Everything listens on loopback addresses.
 */
import { spawn } from "node:child_process";
import { appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { request, Agent } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Proxy } from "./proxy.mjs";
import { Gangs, Runner } from "./runner.mjs";
import { Store } from "./store.mjs";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const ZONES = ["landsberg", "diessen", "schwabmuenchen"];
export const SERVICE = "anschluss-angebot";
export const KEY = "k3y0fthetenant000001";
const TENANT = "tenant-1";
const HEARTBEAT_MS = 1_500;
/** The delay of the platform before it starts a process again that has ended. */
const RESTART_DELAY_MS = 500;
const FRONT_CORES = 0.675;
/** The figures of the site `swla-anschluss` (SYSTEM.md). */
export const BOUNDS = {
  seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6,
  lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: false,
  revokeMs: 5000, coldOverage: 1.5, coldSlack: 5, evacuateMs: 5000, recoveryS: 12, maxHoldMs: 10000,
  stopTimeoutMs: 200, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14,
  status_s: 120, remoteFactor: 3, checkpointS: 0.5, restoreMs: 600, noticeMs: 4500, moveS: 1.5,
  maintenanceS: 2, requireFence: false, leaseMs: 3000, thawSlackMs: 300, paceMs: 100, harmMs: 4000,
  reclaimMs: 2700,
};
const CAPACITY = { cpu: 128_000, memMb: 524_288, gpu: 8 };
export const QUEUES = {
  urgent: { name: "preisblatt", pathPrefix: "/preisblatt/", priority: 0, attempts: 3, stretch: 1.5, targetLatencyMs: 250 },
  ordinary: { name: "druck-check", pathPrefix: "/druck-check/", priority: 2, attempts: 2, stretch: 3, targetLatencyMs: 3000 },
};
const HOST = "quotes.example";

export const sleep = (ms) => new Promise((wake) => setTimeout(wake, ms));

/** Writes one line for each thing sent, answered or run, with the milliseconds since the start. */
export class Record {
  #stream;
  #startMs = performance.now();
  constructor(file) {
    this.#stream = createWriteStream(file);
  }
  get nowMs() {
    return Math.round(performance.now() - this.#startMs);
  }
  write = (what, fields = {}) => {
    if (this.#isClosed) return;
    this.#stream.write(`${String(this.nowMs).padStart(6)} ${what} ${JSON.stringify(fields)}\n`);
  };
  close() {
    this.#isClosed = true;
    return new Promise((done) => this.#stream.end(done));
  }
  #isClosed = false;
}

/** One machine of the system: a process that is started again when it ends. */
class Front {
  endsByItself = 0;
  #isStopped = false;
  #child;
  constructor({ name, host, zone, ports, settings, record, folder, logFolder }) {
    Object.assign(this, { name, host, zone, ports, record, logFolder });
    this.settingsFile = join(folder, `${name}.toml`);
    writeFileSync(this.settingsFile, settings);
  }

  start() {
    const [command, ...words] = readRunCommand();
    this.#child = spawn(command, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, COLTSFOOTPOND_CONFIG: this.settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.pid = this.#child.pid;
    const child = this.#child;
    let tail = "";
    if (this.logFolder !== undefined) {
      child.stdout.on("data", (chunk) => {
        // The folder may be removed once the deployment is stopped.
        if (!this.#isStopped) appendFileSync(join(this.logFolder, `${this.name}.log`), chunk);
      });
    }
    child.stdout.on("data", (chunk) => this.#scan(tail += chunk, (rest) => (tail = rest)));
    child.stderr.resume();
    child.once("exit", (code, signal) => {
      if (this.#isStopped) return;
      clearTimeout(this.#killTimer);
      const byItself = signal === null && !(code === 0 && this.#leaving === child);
      if (byItself) this.endsByItself++;
      this.record("process ends", { machine: this.name, code, signal, byItself });
      this.#timer = setTimeout(() => this.start(), RESTART_DELAY_MS);
    });
    this.record("process starts", { machine: this.name });
  }
  #timer;

  /** Copies the few lines of the log that explain a result; nothing is judged by them. */
  #scan(text, keep) {
    const lines = text.split("\n");
    keep(lines.pop());
    for (const line of lines) {
      if (/process\.failed|lease\.acquired|worker\.crashed|job\.ended|progress\.write_failed/.test(line)) {
        this.record("log", { machine: this.name, line: line.slice(0, 600).replaceAll(ROOT, ".") });
      }
    }
  }

  async isReady() {
    const answer = await call({ host: this.host, port: this.ports.readiness, method: "GET", path: "/-/readyz", timeoutMs: 500 });
    return answer.status === 200;
  }

  /** The platform sends SIGKILL `graceS` after SIGTERM. */
  signal(name) {
    const child = this.#child;
    if (name === "SIGTERM") {
      this.#leaving = child;
      this.#killTimer = setTimeout(() => child.kill("SIGKILL"), 1_000 * BOUNDS.graceS);
    }
    child.kill(name);
  }
  #leaving;
  #killTimer;

  stop() {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#killTimer);
    try {
      this.#child?.kill("SIGKILL");
    } catch {
      // It has ended already.
    }
  }
}

function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

const singleUse = new Agent({ keepAlive: false });

export function call({ host, port, method, path, headers = {}, body, timeoutMs, agent = singleUse }) {
  return new Promise((done) => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const outgoing = request({ host, port, method, path, agent, headers: {
      ...headers, ...(text === "" ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
    } });
    const timer = setTimeout(() => outgoing.destroy(new Error("timeout")), timeoutMs);
    const finish = (answer) => {
      clearTimeout(timer);
      done(answer);
    };
    outgoing.on("error", (error) => finish({ status: 0, error: error.message }));
    outgoing.on("response", (incoming) => {
      const chunks = [];
      incoming.on("data", (chunk) => chunks.push(chunk));
      incoming.on("error", (error) => finish({ status: 0, error: error.message }));
      incoming.on("aborted", () => finish({ status: 0, error: "aborted" }));
      incoming.on("end", () => {
        const body = Buffer.concat(chunks).toString();
        let fields;
        try {
          fields = JSON.parse(body);
        } catch {
          fields = undefined;
        }
        finish({ status: incoming.statusCode, fields });
      });
    });
    outgoing.end(text);
  });
}

/** Free ports; all are held until each is known, as one that was released may be given out again. */
async function findPorts(host, count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(servers.map((server) => new Promise((done) => server.listen(0, host, done))));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

function formatSettings({ name, host, zone, ports, seeds, store, storeAddress }) {
  const values = Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`);
  return [
    `nodeName = "${name}"`, `role = "entry"`, `machineClass = "front"`, `serves = ["front","control"]`,
    `ip = "${host}"`, `zone = "${zone}"`, `region = "oberbayern-west"`, `portRange = [7000,7015]`,
    `seeds = [${seeds.map((seed) => `"${seed}"`).join(",")}]`, `bootstrap = true`, `countsAsLoss = false`,
    `discovery = "platform"`, `entry = "vip"`, `heartbeatMs = ${HEARTBEAT_MS}`,
    `contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform"]`, `orders = "rpc"`,
    `[zones]`, ...ZONES.map((name) => `${name} = "oberbayern-west"`),
    `[listen]`, `front = "${host}:${ports.front}"`, `readiness = "${host}:${ports.readiness}"`, `control = "${host}:${ports.control}"`,
    `[limits]`, `cpuShare = ${FRONT_CORES}`, `cores = 1`, `memoryMb = 350`, `maxFds = 4100`, `linkMbps = 1000.0`, `diskMb = 0`,
    `[faultTolerance]`, `machines = 2`, `zones = 1`, `regions = 0`,
    `[bounds]`, ...values,
    `[platform]`, `address = "${storeAddress}"`, `form = "table"`, `writesPerS = 800`, `readsPerS = 2000`, `txMs = 5.0`,
    `partWritesS = 200`, `rowBytes = ${store.rowBytes}`, `across = false`, `historyS = 20`, `blobBytes = 8388608`, `blobMs = 25.0`, `blobMbS = 80.0`, ``,
  ].join("\n");
}

export class Deployment {
  fronts = [];
  runners = [];
  storeProxies = [];
  #nextFront = 0;
  #folder = mkdtempSync(join(tmpdir(), "review-"));

  constructor(record) {
    this.record = record;
  }

  /**
   * `hasProxies`: each machine reaches the store through a proxy of its own (`storeProxies`). `network`:
   * the machines' addresses without the last number. `keepsConnections`: requesters use connections again.
   * `logFolder`: where the logs of the processes are written, if anywhere.
   */
  async start({
    fronts = 6, runners = 8, enforcesCapacity = true, hasProxies = false, network = "127.0.1", keepsConnections = false, logFolder,
  } = {}) {
    if (keepsConnections) this.#agent = new Agent({ keepAlive: true });
    this.store = new Store({ rowBytes: 65_536 });
    await this.store.listen("127.0.0.1");
    this.store.onRefused = (problem) => this.record.write("the store answers 400", { problem });
    this.#enforcesCapacity = enforcesCapacity;
    this.declare(7, Object.values(QUEUES));
    const gangs = new Gangs();
    for (let index = 0; index < runners; index++) {
      const runner = new Runner({
        id: `i-${(0x7f3a91c2 + index * 0x1111).toString(16)}`, host: "127.0.0.1", zone: ZONES[index % ZONES.length], service: SERVICE,
        labels: ["a", `r1-${Math.floor(index / 8)}`], capacity: CAPACITY, bounds: BOUNDS, heartbeatMs: HEARTBEAT_MS,
        store: this.store, record: this.record.write, gangs,
      });
      this.runners.push(runner);
      await runner.start();
    }
    const machines = [];
    for (let index = 0; index < fronts; index++) {
      const host = `${network}.${index + 1}`;
      const [front, readiness, control] = await findPorts(host, 3);
      const ports = { front, readiness, control };
      const zone = ZONES[index % ZONES.length];
      machines.push({ name: `front-${zone}-${Math.floor(index / ZONES.length) + 1}`, host, zone, ports });
    }
    for (const machine of machines) {
      machine.storeAddress = this.store.address;
      if (!hasProxies) continue;
      const proxy = new Proxy();
      await proxy.listen(machine.host, this.store.address);
      this.storeProxies.push(proxy);
      machine.storeAddress = proxy.address;
    }
    const seeds = machines.slice(0, 3).map(({ host, ports }) => `${host}:${ports.control}`);
    this.fronts = machines.map((machine) => new Front({
      ...machine, record: this.record.write, folder: this.#folder, logFolder, settings: formatSettings({ ...machine, seeds, store: this.store }),
    }));
    this.fronts.forEach((front) => front.start());
    return await this.awaitReady(20_000);
  }

  /** The operator writes a desired state; the store's answer is the confirmation. */
  declare(version, queues) {
    this.store.put("op", "config", {
      version,
      routes: queues.map((queue) => ({ ...queue, host: HOST, kind: "non_idempotent", timeoutMs: 3000, service: SERVICE, public: false })),
      services: [{
        name: SERVICE, healthPath: "/healthz", maxConns: 64, protocol: "h1", tls: false, coldStartS: 0, coldPerS: 0,
        enforcesCapacity: this.#enforcesCapacity, spare: false,
      }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1, guaranteed: { gpu: 0 } }],
    });
    this.record.write("the desired state is confirmed", { version, routes: queues.map(({ pathPrefix }) => pathPrefix) });
  }
  #enforcesCapacity;
  #agent;

  async awaitReady(timeoutMs) {
    const deadlineMs = this.record.nowMs + timeoutMs;
    while (this.record.nowMs < deadlineMs) {
      const ready = await Promise.all(this.fronts.map((front) => front.isReady()));
      if (ready.every(Boolean)) return true;
      await sleep(200);
    }
    return false;
  }

  stop() {
    this.fronts.forEach((front) => front.stop());
    this.runners.forEach((runner) => runner.close());
    this.storeProxies.forEach((proxy) => proxy.close());
    this.store?.close();
    this.#agent?.destroy();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #send(method, path, body, front = this.fronts[this.#nextFront++ % this.fronts.length]) {
    const { host, ports } = front;
    const answer = await call({
      host, port: ports.front, method, path, body, timeoutMs: 3_000, agent: this.#agent,
      headers: { host: HOST, authorization: `Token ${KEY}`, "deadline-ms": "3000" },
    });
    return { ...answer, machine: front.name };
  }

  /** Submits a job as a requester does: no answer, 502 and 504 are tried again with the same id, 429 and 503 later. */
  async submit(queue, id, steps, { tries = 5, recurrence = {} } = {}) {
    const work = steps.map(({ workMs, failAfterMs, persistent, count, gang, cpu = 0, memMb = 0, gpu = 0 }) => ({
      workMs, failAfterMs, persistent, ...(gang ? { gang, count } : {}), cpu, memMb, gpu,
    }));
    const body = {
      ...recurrence,
      spec: JSON.stringify(work),
      steps: steps.map(({ workMs, failAfterMs: _, ...step }) => ({ ...step, estimateMs: workMs })),
    };
    for (let attempt = 0; attempt < tries; attempt++) {
      const answer = await this.#send("POST", queue.pathPrefix + id, body);
      this.record.write("submit", { job: id, machine: answer.machine, status: answer.status, error: answer.error });
      if (answer.status >= 200 && answer.status < 300) return true;
      await sleep(500);
    }
    return false;
  }

  /** The state that a machine gives, asked again at another one if there is no answer. */
  async getState(queue, id) {
    for (let attempt = 0; attempt < 3; attempt++) {
      const answer = await this.#send("GET", queue.pathPrefix + id);
      if (answer.status !== 0 && answer.status < 500) return { state: answer.fields?.state, status: answer.status };
    }
    return { status: 0 };
  }

  /** The state that each machine gives, asked twice more if there is no answer. */
  async getStates(queue, id) {
    return await Promise.all(this.fronts.map(async (front) => {
      let answer;
      for (let attempt = 0; attempt < 3; attempt++) {
        answer = await this.#send("GET", queue.pathPrefix + id, undefined, front);
        if (answer.status !== 0 && answer.status < 500) break;
      }
      return { machine: front.name, state: answer.fields?.state, status: answer.status };
    }));
  }

  async cancel(queue, id) {
    const answer = await this.#send("DELETE", queue.pathPrefix + id);
    this.record.write("cancel", { job: id, machine: answer.machine, status: answer.status });
    return answer.status;
  }

  /** What each machine gives as `pending`. */
  async countPending(queue) {
    return await Promise.all(this.fronts.map(async ({ name, host, ports }) => {
      const { fields, status } = await call({
        host, port: ports.front, method: "GET", path: queue.pathPrefix, timeoutMs: 3_000,
        headers: { host: HOST, authorization: `Token ${KEY}`, "deadline-ms": "3000" },
      });
      return { machine: name, status, pending: fields?.pending };
    }));
  }
}

/**
 * Measures, as LOST says it, for how long on end each job has nothing running, while there is capacity
 * for it twice over and under half of the service's capacity is in use.
 */
export class IdleWatch {
  #begun = new Set();
  #deployment;
  #timer;

  constructor(deployment) {
    this.#deployment = deployment;
    this.#timer = setInterval(() => this.#listRunning().forEach((id) => this.#begun.add(id)), SAMPLE_MS);
  }

  #listRunning() {
    return new Set(this.#deployment.runners.flatMap(({ runningTasks }) => runningTasks.map(({ task }) => task.split(".")[0])));
  }

  /** Whether the job has ever run a task. */
  hasRun(id) {
    return this.#begun.has(id);
  }

  #readLoad() {
    const up = this.#deployment.runners.filter(({ isUp }) => isUp);
    return up.map(({ capacity, runningTasks }) => ({
      capacity,
      free: Object.fromEntries(Object.entries(capacity).map(([name, whole]) => [
        name, whole - runningTasks.reduce((sum, run) => sum + run[name], 0),
      ])),
    }));
  }

  /** The largest share in use of any resource, and how many tasks of the step still fit. */
  #judge(load, step) {
    const sum = (of, name) => load.reduce((total, runner) => total + runner[of][name], 0);
    const inUse = Math.max(...["cpu", "memMb", "gpu"].map((name) => 1 - sum("free", name) / sum("capacity", name)));
    const fitting = load.reduce((total, { free }) =>
      total + Math.min(...["cpu", "memMb", "gpu"].map((name) => step[name] ? Math.floor(free[name] / step[name]) : Infinity)), 0);
    return { inUse, fitting };
  }

  /** The longest such spans in milliseconds, by job; `steps` has the one step of each job. */
  async measure(steps, durationMs) {
    const longestMs = new Map([...steps.keys()].map((id) => [id, 0]));
    const sinceMs = new Map();
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      const nowMs = performance.now();
      const running = this.#listRunning();
      const load = this.#readLoad();
      for (const [id, step] of steps) {
        const { inUse, fitting } = this.#judge(load, step);
        if (running.has(id) || fitting < 2 * step.count || inUse >= 0.5) sinceMs.delete(id);
        else {
          if (!sinceMs.has(id)) sinceMs.set(id, nowMs);
          longestMs.set(id, Math.max(longestMs.get(id), Math.round(nowMs - sinceMs.get(id))));
        }
      }
      await sleep(SAMPLE_MS);
    }
    return longestMs;
  }

  stop() {
    clearInterval(this.#timer);
  }
}
const SAMPLE_MS = 50;
/** LOST: for 3 s, a job has nothing running. */
const IDLE_MS = 3_000;

/**
 * Asks for the jobs, `finish_s` after the end of the traffic, and counts those that LOST speaks of: not
 * ended, and idle for 3 s on end.
 */
export async function countLost(deployment, watch, queue, steps, durationMs) {
  const longestMs = await watch.measure(steps, durationMs);
  let lost = 0;
  for (const [id] of steps) {
    const { state, status } = await deployment.getState(queue, id);
    const isLost = (state === "queued" || state === "running") && longestMs.get(id) >= IDLE_MS;
    deployment.record.write("state", { job: id, state, status, longestIdleMs: longestMs.get(id), hasRun: watch.hasRun(id), isLost });
    if (isLost) lost++;
  }
  watch.stop();
  return { lost, longestIdleMs: Math.max(...longestMs.values()) };
}

export function jobId(number) {
  return (0x5c0e7a21d94b0000n + BigInt(number)).toString(16).padStart(16, "0");
}

/** Runs a case: exit 0 if `play` returns true, 1 if it returns false, 2 if the case could not run. */
export async function runCase(folder, play) {
  const record = new Record(join(folder, "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  const deployment = new Deployment(record);
  let code = 2;
  let isFinishing = false;
  const finish = async () => {
    if (isFinishing) return;
    isFinishing = true;
    deployment.stop();
    record.write("result", { trouble: hasTrouble, exit: code });
    await record.close();
    process.exit(code);
  };
  const abort = () => void finish();
  process.on("SIGTERM", abort);
  process.on("SIGINT", abort);
  process.on("uncaughtException", (error) => {
    record.write("the case failed", { error: String(error?.stack ?? error).replaceAll(ROOT, ".") });
    code = 2;
    void finish();
  });
  setTimeout(() => {
    record.write("the case took too long");
    void finish();
  }, 115_000);
  try {
    const held = await play(deployment, { hasTrouble, record });
    if (held !== undefined) code = held ? 0 : 1;
  } catch (error) {
    record.write("the case failed", { error: String(error?.stack ?? error).replaceAll(ROOT, ".") });
  }
  await finish();
}
