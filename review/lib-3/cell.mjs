// Starts entries of the system with the command of the deploy file, and speaks to them as requesters do.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "./store.mjs";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const TROUBLE = process.env.TROUBLE !== "0";

const given = new Set();

/** A port that was free a moment ago, below those that the system gives to outgoing connections. */
export async function freePort() {
  for (let attempt = 0; attempt < 200; attempt++) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    if (given.has(port)) continue;
    given.add(port);
    const server = createServer();
    const isFree = await new Promise((done) => {
      server.once("error", () => done(false));
      server.listen(port, "127.0.0.1", () => done(true));
    });
    if (!isFree) continue;
    await new Promise((done) => server.close(done));
    return port;
  }
  throw new Error("no free port");
}

export class Test {
  children = new Set();
  cleanups = [];
  startedMs = performance.now();

  /** folder: of the case. limitS: after which the case counts as one that couldn't run. */
  constructor(folder, limitS = 110) {
    this.recordFile = join(folder, "record.txt");
    writeFileSync(this.recordFile, "");
    this.temp = mkdtempSync(join(tmpdir(), "review-3-"));
    this.limit = setTimeout(() => this.finish(2, "the case took too long"), limitS * 1_000);
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => this.finish(2, signal));
    process.on("uncaughtException", (error) => this.finish(2, error.stack));
    process.on("unhandledRejection", (error) => this.finish(2, error?.stack ?? String(error)));
  }

  note(event, fields = {}) {
    const second = ((performance.now() - this.startedMs) / 1_000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${second} ${event} ${JSON.stringify(fields)}\n`);
  }

  spawn(name, command, args, env) {
    const log = openSync(join(this.temp, `${name}.log`), "a");
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...env },
      stdio: ["ignore", log, log, "ipc"],
    });
    this.children.add(child);
    child.on("exit", (code, signal) => {
      this.children.delete(child);
      this.note("process ended", { name, code, signal });
    });
    this.note("process started", { name });
    return child;
  }

  logOf(name) {
    return readFileSync(join(this.temp, `${name}.log`), "utf8");
  }

  /** Ends what was started and exits: 0 held, 1 broken, 2 could not run. */
  async finish(code, reason) {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.limit);
    this.note("verdict", { code, reason });
    console.log(`${code === 0 ? "held" : code === 1 ? "BROKEN" : "could not run"}: ${reason}`);
    for (const child of this.children) child.kill("SIGKILL");
    for (const cleanup of this.cleanups) {
      try {
        await cleanup();
      } catch {
        // The rest is still to be cleaned up.
      }
    }
    if (process.env.KEEP_LOGS === undefined) rmSync(this.temp, { recursive: true, force: true });
    else console.log(this.temp);
    process.exit(code);
  }
}

export const BOUNDS = {
  seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6,
  lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: false,
  revokeMs: 5000, evacuateMs: 5000, recoveryS: 12, maxHoldMs: 10000, stopTimeoutMs: 200, gangTimeoutMs: 3000,
  cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 3,
  checkpointS: 0.5, restoreMs: 600, noticeMs: 4500, leaseMs: 3000, reclaimMs: 2700,
};

/** One process of the system. */
export class Entry {
  constructor(test, store, options) {
    Object.assign(this, { test, store, bounds: {}, ...options });
  }

  static async create(test, store, options) {
    const entry = new Entry(test, store, options);
    entry.ports = { front: await freePort(), readiness: await freePort(), control: await freePort(), metrics: await freePort() };
    return entry;
  }

  writeSettings(seeds) {
    const { front, readiness, control } = this.ports;
    const bounds = Object.entries({ ...BOUNDS, ...this.bounds }).map(([key, value]) => `${key} = ${value}`);
    this.file = join(this.test.temp, `${this.name}.toml`);
    writeFileSync(this.file, [
      `nodeName = "${this.name}"`, `role = "entry"`, `machineClass = "front"`, `serves = ["front","control"]`,
      `ip = "127.0.0.1"`, `zone = "${this.zone}"`, `region = "region-1"`, `portRange = [7000,7015]`,
      `seeds = ${JSON.stringify(seeds)}`, `bootstrap = true`, `countsAsLoss = false`, `discovery = "platform"`,
      `entry = "vip"`, `heartbeatMs = 1500`,
      `contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform","advice","upkeep","sharing"]`,
      `orders = "rpc"`, `advice = "127.0.0.1:1"`,
      `[zones]`, `z1 = "region-1"`, `z2 = "region-1"`, `z3 = "region-1"`,
      `[listen]`, `front = "127.0.0.1:${front}"`, `readiness = "127.0.0.1:${readiness}"`, `control = "127.0.0.1:${control}"`,
      `[limits]`, `cpuShare = 0.675`, `cores = 1`, `memoryMb = 350`, `maxFds = 4100`, `linkMbps = 1000.0`, `diskMb = 0`,
      `[faultTolerance]`, `machines = 2`, `zones = 1`, `regions = 0`,
      `[bounds]`, ...bounds,
      `[platform]`, `address = "${this.store.address}"`, `form = "table"`, `writesPerS = 800`, `readsPerS = 2000`,
      `txMs = 5.0`, `partWritesS = 200`, `rowBytes = 65536`, `across = false`, `historyS = 20`, `blobBytes = 8388608`,
      `blobMs = 25.0`, `blobMbS = 80.0`,
      `[cloudApi]`, `address = "127.0.0.1:1"`, `ratePerS = 60.0`, `duties = []`, `dutyPerS = 60.0`, "",
    ].join("\n"));
  }

  start() {
    const args = ["--max-old-space-size=200", "target/coltsfootpond_scheduler.cjs", "--metrics-port", String(this.ports.metrics)];
    this.child = this.test.spawn(this.name, process.execPath, args, { COLTSFOOTPOND_CONFIG: this.file });
  }

  kill(signal) {
    this.test.note("signal", { name: this.name, signal });
    this.child.kill(signal);
  }

  async isReady() {
    const answer = await exchange(this.ports.readiness, { method: "GET", path: "/-/readyz", headers: {}, timeoutMs: 900 });
    return answer.status === 200;
  }

  /** A call of a requester. `status` 0: no answer. */
  call(method, path, { key, body, deadlineMs = 3000, host = "jobs.example", timeoutMs = deadlineMs } = {}) {
    const headers = { host, "deadline-ms": String(deadlineMs) };
    if (key !== undefined) headers.authorization = `Token ${key}`;
    return exchange(this.ports.front, { method, path, headers, body, timeoutMs });
  }
}

export function exchange(port, { method, path, headers, body, timeoutMs }) {
  return new Promise((done) => {
    const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    const outgoing = request({ host: "127.0.0.1", port, method, path, agent: false, headers: {
      ...headers,
      ...(bytes === undefined ? {} : { "content-type": "application/json", "content-length": bytes.byteLength }),
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
      incoming.on("end", () => {
        const text = Buffer.concat(chunks).toString("utf8");
        let content;
        try {
          content = JSON.parse(text);
        } catch {
          content = undefined;
        }
        finish({ status: incoming.statusCode, content });
      });
    });
    outgoing.end(bytes);
  });
}

/** Starts `count` entries in three zones and waits until they are ready. */
export async function startEntries(test, store, count, options = {}) {
  const entries = [];
  for (let i = 0; i < count; i++) {
    entries.push(await Entry.create(test, store, { name: `front-z${i % 3 + 1}-${Math.floor(i / 3) + 1}`, zone: `z${i % 3 + 1}`, ...options }));
  }
  const seeds = entries.slice(0, 3).map(({ ports }) => `127.0.0.1:${ports.control}`);
  for (const entry of entries) entry.writeSettings(seeds);
  for (const entry of entries) entry.start();
  await until(async () => (await Promise.all(entries.map((entry) => entry.isReady()))).every(Boolean), 15_000, "entries ready");
  return entries;
}

/** The name of the entry that holds the lease, by what the entries' metrics say. */
export async function findHolder(entries) {
  for (const entry of entries) {
    if (entry.child.exitCode !== null || entry.child.signalCode !== null) continue;
    const answer = await exchangeText(entry.ports.metrics, "/metrics");
    if (/lease_holder[^\n]* 1\b/.test(answer)) return entry;
  }
  return undefined;
}

export function exchangeText(port, path) {
  return new Promise((done) => {
    const outgoing = request({ host: "127.0.0.1", port, path, agent: false }, (incoming) => {
      let text = "";
      incoming.on("data", (chunk) => text += chunk);
      incoming.on("end", () => done(text));
    });
    outgoing.setTimeout(900, () => outgoing.destroy(new Error("timeout")));
    outgoing.on("error", () => done(""));
    outgoing.end();
  });
}

export async function until(check, limitMs, what) {
  const endMs = performance.now() + limitMs;
  while (performance.now() < endMs) {
    if (await check()) return;
    await sleep(50);
  }
  throw new Error(`not in time: ${what}`);
}

/** A desired state with one service, one tenant and queues of priority 0, 1 and 2. */
export function desiredState(version, { enforcesCapacity = true, keys = ["key-a"], guaranteed = 8, extraRoutes = [], dropRoutes = [] } = {}) {
  const route = (name, priority) => ({
    name, host: "jobs.example", pathPrefix: `/${name}/`, kind: "non_idempotent", timeoutMs: 3000,
    targetLatencyMs: 1000, priority, service: "svc", attempts: 3, stretch: 3, public: false,
  });
  return {
    version,
    routes: [route("urgent", 0), route("usual", 1), route("batch", 2), ...extraRoutes.map((name) => route(name, 1))]
      .filter(({ name }) => !dropRoutes.includes(name)),
    services: [{ name: "svc", enforcesCapacity, healthPath: "/healthz" }],
    tenants: [{ name: "tenant-a", apiKeys: keys, guaranteed: { gpu: guaranteed } }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  };
}

export function jobId(number) {
  return `${(number * 2654435761 >>> 0).toString(16).padStart(8, "0")}${number.toString(16).padStart(8, "0")}`;
}

export { sleep };
