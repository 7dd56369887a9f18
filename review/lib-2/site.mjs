// What the scripts of review/6 to review/10 share: a small deployment on loopback addresses, with the
// stand-ins of this folder and the project's scheduler as the deploy file starts it.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Ports that are free now on the host. */
async function findPorts(host, count) {
  const servers = Array.from({ length: count }, () => createServer());
  for (const server of servers) {
    await new Promise((done, fail) => server.once("error", fail).listen(0, host, done));
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** The command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error("deploy/system.toml names no command");
  return command.split(" ");
}

export class Site {
  store = new Store();
  entries = [];
  runners = [];
  #startedMs = performance.now();
  #base = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
  #hosts = 0;
  #isStopped = false;
  #advice;

  constructor(recordPath) {
    this.folder = mkdtempSync(join(tmpdir(), "review-2-"));
    this.#record = createWriteStream(recordPath);
  }
  #record;

  record = (fields) => {
    const atS = ((performance.now() - this.#startedMs) / 1000).toFixed(3);
    this.#record.write(`${atS} ${JSON.stringify(fields)}\n`);
  };

  /** A loopback address of its own for each machine. */
  nextHost() {
    return `${this.#base}.${++this.#hosts}`;
  }

  /** `advice`: the address of the advice service, if there is one. */
  async start({ entries, bounds, state, advice }) {
    this.#advice = advice;
    this.storeHost = this.nextHost();
    await this.store.listen(this.storeHost, 0);
    this.store.put("op", "config", state);
    const zones = ["badr-a", "obour-b", "nasr-c"];
    for (let index = 0; index < entries; index++) {
      const host = this.nextHost();
      const [front, readiness, control] = await findPorts(host, 3);
      const ports = { front, readiness, control };
      this.entries.push({ name: `front-${index + 1}`, host, ports, zone: zones[index % 3] });
    }
    for (const entry of this.entries) this.#spawn(entry, bounds);
  }

  #spawn(entry, bounds) {
    const { host, ports } = entry;
    const seeds = this.entries.slice(0, 3).map((other) => `"${other.host}:${other.ports.control}"`);
    const file = join(this.folder, `${entry.name}.toml`);
    writeFileSync(file, `nodeName = "${entry.name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "${host}"
zone = "${entry.zone}"
region = "cairo-east"
seeds = [${seeds.join(",")}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "rpc"
${this.#advice === undefined ? "" : `advice = "${this.#advice}"`}
contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform","advice","upkeep","sharing"]
[zones]
badr-a = "cairo-east"
obour-b = "cairo-east"
nasr-c = "cairo-east"
[listen]
front = "${host}:${ports.front}"
readiness = "${host}:${ports.readiness}"
control = "${host}:${ports.control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
[bounds]
${Object.entries(bounds).map(([name, value]) => `${name} = ${value}`).join("\n")}
[platform]
address = "${this.store.address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
`);
    const [program, ...args] = readCommand();
    const log = createWriteStream(join(this.folder, `${entry.name}.log`), { flags: "a" });
    entry.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, COLTSFOOTPOND_CONFIG: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    entry.child.stdout.pipe(log);
    entry.child.stderr.pipe(log);
    entry.child.on("exit", (code, signal) => {
      if (this.#isStopped) return;
      this.record({ event: "entry exit", entry: entry.name, code, signal });
      // The platform restarts a process that ends.
      setTimeout(() => this.#isStopped || this.#spawn(entry, bounds), 500);
    });
    this.record({ event: "entry start", entry: entry.name });
  }

  /** Waits until the entries answer their readiness checks. */
  async awaitReady(limitMs) {
    const untilMs = performance.now() + limitMs;
    for (const { host, ports } of this.entries) {
      while ((await call({ host, port: ports.readiness, method: "GET", path: "/-/readyz" })).status !== 200) {
        if (performance.now() > untilMs) return false;
        await sleep(100);
      }
    }
    return true;
  }

  /** A call of a requester at one entry; undefined status when there was no answer. */
  async ask(entry, method, path, { key, body, deadlineMs = 3000, host = "nony24.example" } = {}) {
    const answer = await call({
      host: entry.host, port: entry.ports.front, method, path, timeoutMs: deadlineMs,
      headers: { host, "deadline-ms": String(deadlineMs), ...(key ? { authorization: `Token ${key}` } : {}) },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    this.record({ event: "call", entry: entry.name, method, path, status: answer.status, body: answer.body });
    return answer;
  }

  async stop() {
    this.#isStopped = true;
    for (const runner of this.runners) runner.close();
    this.store.close();
    const children = this.entries.map(({ child }) => child).filter((child) => child !== undefined);
    for (const child of children) if (child.exitCode === null && child.signalCode === null) child.kill("SIGKILL");
    await Promise.all(children.map((child) =>
      child.exitCode !== null || child.signalCode !== null ? undefined : Promise.race([new Promise((done) => child.once("exit", done)), sleep(3000)])
    ));
    await new Promise((done) => this.#record.end(done));
    if (process.env.KEEP !== "1") rmSync(this.folder, { recursive: true, force: true });
    else console.log(this.folder);
  }
}

function call({ host, port, method, path, headers = {}, body, timeoutMs = 1000 }) {
  return new Promise((done) => {
    const outgoing = request({ host, port, method, path, agent: false, headers: { ...headers, ...(body === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(body) }) } });
    const timer = setTimeout(() => outgoing.destroy(new Error("timeout")), timeoutMs);
    outgoing.on("error", (error) => {
      clearTimeout(timer);
      done({ status: undefined, body: error.message });
    });
    outgoing.on("response", (incoming) => {
      const chunks = [];
      incoming.on("data", (chunk) => chunks.push(chunk));
      incoming.on("error", () => done({ status: undefined, body: "broken off" }));
      incoming.on("end", () => {
        clearTimeout(timer);
        done({ status: incoming.statusCode, body: Buffer.concat(chunks).toString("utf8") });
      });
    });
    outgoing.end(body);
  });
}

/** Runs a case: exit code 1 if it says that the rule was broken, 0 if it held, 2 if it couldn't run. */
export async function runCase(folder, limitMs, play) {
  const site = new Site(join(folder, "record.txt"));
  const withTrouble = process.env.TROUBLE !== "0";
  const guard = setTimeout(() => finish(2, "the time of the script is over"), limitMs);
  let isOver = false;
  async function finish(code, words) {
    if (isOver) return;
    isOver = true;
    clearTimeout(guard);
    console.log(`${["held", "BROKEN", "could not run"][code]}: ${words}`);
    site.record({ event: "verdict", code, words });
    await site.stop();
    process.exit(code);
  }
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => finish(2, signal));
  process.on("uncaughtException", (error) => finish(2, String(error?.stack ?? error)));
  try {
    const { isBroken, words } = await play(site, withTrouble);
    await finish(isBroken ? 1 : 0, words);
  } catch (error) {
    await finish(2, String(error?.stack ?? error));
  }
}
