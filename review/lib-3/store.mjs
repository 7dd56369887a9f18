// A small stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
// It runs inside the test's own process. Every answer takes `answerMs`, a transaction `txMs` more.
import { createServer } from "node:http";

const HISTORY = 50_000;

export class Store {
  rows = new Map(); // "table\0part\0key" -> { table, part, key, value, ver }
  log = []; // { table, part, key, value, ver, deleted }
  ver = 0;
  answerMs = 4;
  txMs = 5;
  calls = 0;
  waiters = new Set();
  sockets = new Set();

  static async create() {
    const store = new Store();
    store.server = createServer((request, response) => store.#serve(request, response));
    store.server.keepAliveTimeout = 60_000;
    store.server.on("connection", (socket) => {
      store.sockets.add(socket);
      socket.on("close", () => store.sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((resolve) => store.server.listen(0, "127.0.0.1", resolve));
    store.address = `127.0.0.1:${store.server.address().port}`;
    return store;
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  get(table, part, key) {
    return this.rows.get(`${table}\0${part}\0${key}`);
  }

  /** Writes of the operator and of runners, and the system's transactions. */
  commit(writes, deletes = []) {
    const ver = ++this.ver;
    for (const { table, part = "", key, value } of writes) {
      const row = { table, part, key, value, ver };
      this.rows.set(`${table}\0${part}\0${key}`, row);
      this.log.push(row);
    }
    for (const { table, part = "", key } of deletes) {
      if (!this.rows.delete(`${table}\0${part}\0${key}`)) continue;
      this.log.push({ table, part, key, ver, deleted: true });
    }
    if (this.log.length > HISTORY) this.log.splice(0, this.log.length - HISTORY);
    for (const waiter of [...this.waiters]) waiter();
    return ver;
  }

  putJson(table, key, content) {
    const value = Buffer.from(JSON.stringify(content)).toString("base64");
    return this.commit([{ table, key, value }]);
  }

  drop(table, key) {
    return this.commit([], [{ table, key }]);
  }

  async #serve(request, response) {
    this.calls++;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const query = Object.fromEntries(url.searchParams);
    let answer;
    if (url.pathname === "/-/rows-tx") {
      answer = await this.#tx(JSON.parse(Buffer.concat(chunks).toString("utf8")));
    } else if (url.pathname === "/-/rows-get") {
      await sleep(this.answerMs);
      answer = this.#range(query);
    } else if (url.pathname === "/-/rows-parts") {
      await sleep(this.answerMs);
      answer = this.#parts(query);
    } else if (url.pathname === "/-/rows-feed") {
      await sleep(this.answerMs);
      answer = await this.#feed(query);
    } else answer = { status: 404, body: {} };
    const body = Buffer.from(JSON.stringify({ ...answer.body, nowMs: Math.floor(performance.now()) }));
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": body.byteLength,
    });
    response.end(body);
  }

  async #tx({ expectedRev = [], writes = [], delete: deletes = [] }) {
    await sleep(this.answerMs + this.txMs);
    const entries = [...expectedRev, ...writes, ...deletes];
    if (entries.length > 100) return { status: 400, body: {} };
    if (new Set(entries.map(({ part = "" }) => part)).size > 1) return { status: 400, body: {} };
    const system = [...writes, ...deletes].some(({ table }) => table === "op" || table === "servers");
    if (system) return { status: 403, body: {} };
    const isMet = expectedRev.every(({ table, part = "", key, ver }) =>
      (this.get(table, part, key)?.ver ?? 0) === ver
    );
    if (!isMet) {
      const rows = expectedRev.flatMap(({ table, part = "", key }) => this.get(table, part, key) ?? []);
      return { status: 412, body: { rows, ver: this.ver } };
    }
    return { status: 200, body: { ver: this.commit(writes, deletes) } };
  }

  #range({ table, part = "", from, to, limit }) {
    const keys = [...this.rows.values()].filter((row) =>
      row.table === table && row.part === part &&
      (from === undefined || row.key >= from) && (to === undefined || row.key < to)
    ).sort((one, other) => one.key < other.key ? -1 : 1);
    const most = Math.min(500, Number(limit ?? 500));
    const rows = [];
    let bytes = 0;
    for (const row of keys) {
      bytes += row.value.length + 200;
      if (rows.length === most || (rows.length > 0 && bytes > 1_000_000)) break;
      rows.push(row);
    }
    return { status: 200, body: { rows, hasMore: rows.length < keys.length, ver: this.ver } };
  }

  #parts({ table, after }) {
    const names = [...new Set([...this.rows.values()].filter((row) => row.table === table).map(({ part }) => part))]
      .sort().filter((part) => after === undefined || part > after);
    return { status: 200, body: { parts: names.slice(0, 1_000), hasMore: names.length > 1_000, ver: this.ver } };
  }

  async #feed({ table, after, waitMs = "0" }) {
    const since = Number(after);
    const find = () => {
      const latest = new Map();
      for (let i = this.log.length - 1; i >= 0; i--) {
        const row = this.log[i];
        if (row.ver <= since) break;
        if (row.table === table && !latest.has(`${row.part}\0${row.key}`)) latest.set(`${row.part}\0${row.key}`, row);
      }
      return [...latest.values()].sort((one, other) => one.ver - other.ver);
    };
    const endMs = performance.now() + Math.min(30_000, Number(waitMs));
    let rows = find();
    while (rows.length === 0 && performance.now() < endMs) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, endMs - performance.now());
        this.waiters.add(finish);
      });
      rows = find();
    }
    return { status: 200, body: { rows, ver: this.ver } };
  }
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
