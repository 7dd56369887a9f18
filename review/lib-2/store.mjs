// A small stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"):
// rows-tx, rows-get, rows-parts, rows-feed. One process, in memory; nothing is lost.
import { createServer } from "node:http";

const ANSWER_MS = 4; // the pages' time of an answer
const TX_MS = 5; // `txMs`
const PAGE_ROWS = 500;
const PARTS_PER_PAGE = 1000;

const addressOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
const byteOrder = (a, b) => Buffer.compare(Buffer.from(a), Buffer.from(b));
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Store {
  #rows = new Map(); // address -> { table, part, key, value, ver, deleted }
  #ver = 1;
  #waiters = new Set();
  #server;
  #startedMs = performance.now();
  #sockets = new Set();
  #partFreeMs = new Map();

  async listen(host, port) {
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** A write of the operator or of a runner; the store takes it at once. Returns its version. */
  put(table, key, content) {
    return this.#commit([{ table, part: "", key, value: Buffer.from(JSON.stringify(content)).toString("base64") }], []);
  }

  drop(table, key) {
    return this.#commit([], [{ table, part: "", key }]);
  }

  #commit(writes, deletes) {
    this.#ver++;
    for (const row of writes) {
      this.#rows.set(addressOf(row), { table: row.table, part: row.part ?? "", key: row.key, value: row.value ?? "", ver: this.#ver });
    }
    for (const row of deletes) {
      const address = addressOf(row);
      if (this.#rows.get(address) === undefined || this.#rows.get(address).deleted) continue;
      this.#rows.set(address, { table: row.table, part: row.part ?? "", key: row.key, deleted: true, ver: this.#ver });
    }
    for (const wake of [...this.#waiters]) wake();
    return this.#ver;
  }

  #meta() {
    return { ver: this.#ver, nowMs: Math.floor(performance.now() - this.#startedMs) };
  }

  async #serve(request, response) {
    try {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      const url = new URL(request.url, "http://store");
      const route = `${request.method} ${url.pathname}`;
      const [status, answer] = await this.#answer(route, url.searchParams, Buffer.concat(chunks));
      const body = Buffer.from(JSON.stringify(answer));
      response.writeHead(status, { "content-type": "application/json", "content-length": body.length });
      response.end(body);
    } catch {
      response.destroy();
    }
  }

  async #answer(route, query, body) {
    switch (route) {
      case "POST /-/rows-tx":
        return await this.#transact(JSON.parse(body.toString("utf8")));
      case "GET /-/rows-get":
        await sleep(ANSWER_MS);
        return [200, this.#get(query)];
      case "GET /-/rows-parts":
        await sleep(ANSWER_MS);
        return [200, this.#parts(query)];
      case "GET /-/rows-feed":
        return [200, await this.#feed(query)];
      default:
        return [404, {}];
    }
  }

  async #transact({ expectedRev = [], writes = [], delete: deletes = [], across = false }) {
    const entries = [...expectedRev, ...writes, ...deletes];
    const parts = new Set(entries.map(({ part = "" }) => part));
    if (entries.length > 100 || (parts.size > 1 && !across)) return [400, {}];
    if (writes.some(({ table }) => table === "op" || table === "servers")) return [403, {}];
    // A part handles one transaction after another.
    const [part = ""] = parts;
    const startMs = Math.max(performance.now(), this.#partFreeMs.get(part) ?? 0);
    this.#partFreeMs.set(part, startMs + TX_MS);
    await sleep(startMs + TX_MS - performance.now());
    const versionOf = (row) => {
      const known = this.#rows.get(addressOf(row));
      return known === undefined || known.deleted ? 0 : known.ver;
    };
    if (expectedRev.some((row) => versionOf(row) !== (row.ver ?? 0))) {
      const rows = expectedRev.filter((row) => versionOf(row) > 0).map((row) => this.#rows.get(addressOf(row)));
      return [412, { rows, ...this.#meta() }];
    }
    this.#commit(writes, deletes);
    return [200, this.#meta()];
  }

  #get(query) {
    const [table, part] = [query.get("table"), query.get("part") ?? ""];
    const [from, to] = [query.get("from"), query.get("to")];
    const limit = Math.min(PAGE_ROWS, Number(query.get("limit") ?? PAGE_ROWS));
    const rows = [...this.#rows.values()].filter((row) =>
      !row.deleted && row.table === table && row.part === part &&
      (from === null || byteOrder(row.key, from) >= 0) && (to === null || byteOrder(row.key, to) < 0)
    ).sort((a, b) => byteOrder(a.key, b.key));
    return { rows: rows.slice(0, limit), hasMore: rows.length > limit, ...this.#meta() };
  }

  #parts(query) {
    const after = query.get("after");
    const parts = new Set();
    for (const row of this.#rows.values()) {
      if (!row.deleted && row.table === query.get("table")) parts.add(row.part);
    }
    const sorted = [...parts].sort(byteOrder).filter((part) => after === null || byteOrder(part, after) > 0);
    return { parts: sorted.slice(0, PARTS_PER_PAGE), ...this.#meta() };
  }

  async #feed(query) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Math.min(30_000, Number(query.get("waitMs") ?? 0));
    while (true) {
      const rows = [...this.#rows.values()].filter((row) => row.table === table && row.ver > after)
        .sort((a, b) => a.ver - b.ver);
      const leftMs = untilMs - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        await sleep(ANSWER_MS);
        return { rows, ...this.#meta() };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(done, leftMs);
        const waiters = this.#waiters;
        function done() {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        }
        waiters.add(done);
      });
    }
  }
}
