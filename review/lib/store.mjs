/**
 * A small stand-in for the platform's store, table form, as PROTOCOL.md describes it: rows in tables
 * and parts, transactions under conditions, reads of a part, and a feed of changes. It is sound: it
 * loses nothing, and refuses with 400 what the pages rule out (a row over `rowBytes`, more than 100
 * entries or more than 1 MB in a call).
 */
import { createServer } from "node:http";

const MAXIMUM_ENTRIES = 100;
const MAXIMUM_CALL_BYTES = 1_048_576;
const MAXIMUM_ROWS = 500;
const ANSWER_MS = 4;

export class Store {
  #rows = new Map();
  /** The ids and keys of a part's rows in the order of their keys, until a row is added or removed. */
  #sortedIds = new Map();
  #history = [];
  /** The version of the newest change of each table. */
  #newest = new Map();
  #version = 1;
  #waiters = new Set();
  #server;
  #startMs = performance.now();
  /** Called with each transaction that the limits of the pages refuse. */
  onRefused = () => {};
  refusedCalls = 0;
  committedCalls = 0;

  constructor({ rowBytes }) {
    this.rowBytes = rowBytes;
    this.#server = createServer((incoming, response) => this.#serve(incoming, response));
    this.#server.keepAliveTimeout = 60_000;
  }

  listen(host) {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, () => {
        this.address = `${host}:${this.#server.address().port}`;
        resolve();
      });
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** A write of the operator, of a runner or of another writer; `value` undefined deletes the row. */
  put(table, key, value) {
    const bytes = value === undefined || Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    this.#version++;
    this.#write({ table, part: "", key }, bytes?.toString("base64"));
    this.#notify();
    return this.#version;
  }

  /** Like `put`, with the text that the store returns as the value, which need not be base64. */
  putText(table, key, text) {
    this.#version++;
    this.#write({ table, part: "", key }, text);
    this.#notify();
  }

  list(table) {
    return [...this.#rows.values()].filter((row) => row.table === table);
  }

  #id({ table, part = "", key }) {
    return JSON.stringify([table, part, key]);
  }

  #write({ table, part = "", key }, value) {
    const row = { table, part, key, ver: this.#version };
    this.#newest.set(table, this.#version);
    if (value === undefined || !this.#rows.has(this.#id(row))) this.#sortedIds.delete(JSON.stringify([table, part]));
    if (value === undefined) {
      this.#rows.delete(this.#id(row));
      this.#history.push({ ...row, deleted: true });
    } else {
      const stored = { ...row, value };
      this.#rows.set(this.#id(row), stored);
      this.#history.push(stored);
    }
  }

  #notify() {
    for (const waiter of [...this.#waiters]) waiter();
  }

  async #serve(incoming, response) {
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(incoming.url, "http://store");
    const body = Buffer.concat(chunks);
    const answer = (status, fields) => {
      const text = JSON.stringify({ ...fields, ver: this.#version, nowMs: Math.round(performance.now() - this.#startMs) });
      response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
      response.end(text);
    };
    if (url.pathname === "/-/rows-feed") return this.#feed(url.searchParams, answer);
    setTimeout(() => {
      switch (`${incoming.method} ${url.pathname}`) {
        case "POST /-/rows-tx":
          return this.#transact(body, answer);
        case "GET /-/rows-get":
          return this.#get(url.searchParams, answer);
        case "GET /-/rows-parts":
          return this.#parts(url.searchParams, answer);
        default:
          return answer(404, {});
      }
    }, ANSWER_MS);
  }

  #transact(body, answer) {
    const call = JSON.parse(body.toString());
    const expected = call.expectedRev ?? [];
    const writes = call.writes ?? [];
    const deletes = call.delete ?? [];
    const problem = this.#findProblem(body, expected, writes, deletes);
    if (problem !== undefined) {
      this.refusedCalls++;
      this.onRefused(problem);
      return answer(400, { error: problem });
    }
    const isMet = expected.every((row) =>
      (this.#rows.get(this.#id(row))?.ver ?? 0) === row.ver
    );
    if (!isMet) {
      const rows = expected.flatMap((row) => this.#rows.get(this.#id(row)) ?? []);
      return answer(412, { rows });
    }
    this.#version++;
    this.committedCalls++;
    writes.forEach((row) => this.#write(row, row.value));
    deletes.forEach((row) => this.#write(row, undefined));
    this.#notify();
    answer(200, {});
  }

  #findProblem(body, expected, writes, deletes) {
    const entries = expected.length + writes.length + deletes.length;
    if (entries > MAXIMUM_ENTRIES) return `${entries} entries`;
    if (body.byteLength > MAXIMUM_CALL_BYTES) return `a call of ${body.byteLength} bytes`;
    for (const { key, value } of writes) {
      const bytes = Buffer.byteLength(value, "base64");
      if (bytes > this.rowBytes) return `row ${key} of ${bytes} bytes`;
    }
    return undefined;
  }

  #get(query, answer) {
    const limit = Math.min(MAXIMUM_ROWS, Number(query.get("limit") ?? MAXIMUM_ROWS));
    const from = Buffer.from(query.get("from") ?? "");
    const to = query.has("to") ? Buffer.from(query.get("to")) : undefined;
    const matching = this.#listPart(query.get("table"), query.get("part") ?? "", from, to);
    const rows = [];
    let bytes = 0;
    for (const row of matching) {
      bytes += row.value.length;
      if (rows.length === limit || rows.length > 0 && bytes > MAXIMUM_CALL_BYTES) break;
      rows.push(row);
    }
    answer(200, { rows, hasMore: rows.length < matching.length });
  }

  #listPart(table, part, from, to) {
    const place = JSON.stringify([table, part]);
    if (!this.#sortedIds.has(place)) {
      const rows = [...this.#rows.values()].filter((row) => row.table === table && row.part === part)
        .map((row) => ({ id: this.#id(row), bytes: Buffer.from(row.key) }))
        .sort((left, right) => Buffer.compare(left.bytes, right.bytes));
      this.#sortedIds.set(place, rows);
    }
    return this.#sortedIds.get(place)
      .filter(({ bytes }) => Buffer.compare(bytes, from) >= 0 && (to === undefined || Buffer.compare(bytes, to) < 0))
      .map(({ id }) => this.#rows.get(id));
  }

  #parts(query, answer) {
    const after = query.get("after") ?? "";
    const parts = [...new Set(this.list(query.get("table")).map(({ part }) => part))]
      .filter((part) => part > after || after === "").sort();
    answer(200, { parts: parts.slice(0, 1_000), hasMore: parts.length > 1_000 });
  }

  #feed(query, answer) {
    const after = Number(query.get("after"));
    const table = query.get("table");
    const find = () => {
      const newest = new Map();
      for (let index = this.#history.length - 1; index >= 0 && this.#history[index].ver > after; index--) {
        const row = this.#history[index];
        if (row.table === table && !newest.has(this.#id(row))) newest.set(this.#id(row), row);
      }
      return [...newest.values()].sort((left, right) => left.ver - right.ver);
    };
    let isAnswered = false;
    const finish = () => {
      clearTimeout(timer);
      this.#waiters.delete(waiter);
      if (isAnswered) return;
      isAnswered = true;
      answer(200, { rows: find() });
    };
    const waiter = () => {
      if (!isAnswered && (this.#newest.get(table) ?? 0) > after) finish();
    };
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get("waitMs") ?? 0)) + 1);
    this.#waiters.add(waiter);
    setTimeout(waiter, ANSWER_MS);
  }
}
