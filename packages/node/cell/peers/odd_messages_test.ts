import { SeededRandom, SystemClock } from "@coltsfootpond/common";
import type { StateStore, Unavailable } from "@coltsfootpond/ports";
import { expect } from "chai";
import { pack } from "msgpackr";
import { Buffer } from "node:buffer";
import { createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { gzipSync } from "node:zlib";
import { SILENT_LOG } from "../log.ts";
import {
  OPERATOR_ROWS_PATH,
  STORE_CALL_PATH,
  type StoreCall,
} from "../peer_messages.ts";
import { PeerServer } from "../peer_server.ts";
import { StoreRelay } from "../store_relay.ts";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 2_000;
const REFUSED: Unavailable = {
  kind: "unavailable",
  effect: "refused",
  reason: "test",
};
const ROW = { key: "a", version: 1, value: Buffer.from([1]) };
const NO_COUNTS = [
  -1,
  0.5,
  NaN,
  Infinity,
  1e308,
  2 ** 53,
  "1",
  null,
  undefined,
];
const NO_FIELDS = [undefined, null, 7, "x", [], true, new Uint8Array(3)];
const NO_ROWS = [
  ...NO_FIELDS.filter((value) => !Array.isArray(value)),
  {},
  [7],
  [null],
  [[]],
  [{}],
  [{ ...ROW, key: 7 }],
  [{ ...ROW, value: "AQ==" }],
  [{ ...ROW, value: null }],
  ...NO_COUNTS.map((version) => [ROW, { ...ROW, version }]),
];

/** Bytes that are no message at all. */
const NO_MESSAGES: readonly Uint8Array[] = [
  new Uint8Array(0),
  new Uint8Array([0xc1]),
  new Uint8Array([0xdd, 0xff, 0xff, 0xff, 0xff]),
  new Uint8Array([0xdf, 0xff, 0xff, 0xff, 0xff]),
  new Uint8Array([0xc6, 0xff, 0xff, 0xff, 0xff]),
  new Uint8Array(20_000).fill(0x91),
  new Uint8Array([0x1f, 0x8b]),
  gzipSync(Buffer.alloc(1_000)).subarray(0, 12),
  Buffer.from('{"kind":"rows"}'),
];

const UNUSED_STORE: StateStore = {
  transact: () => Promise.resolve(REFUSED),
  read: () => Promise.resolve(REFUSED),
  follow: () => Promise.resolve(REFUSED),
};

describe("answers of peers of another shape", () => {
  let server: Server;
  let answer: Uint8Array = new Uint8Array(0);

  beforeEach(async () => {
    server = createServer((incoming, response) => {
      incoming.resume();
      incoming.on("end", () => response.end(answer));
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Each relay has its own view of which peers to skip. */
  const createRelay = () =>
    StoreRelay.create({
      direct: UNUSED_STORE,
      getPeers: () => [{
        host: HOST,
        port: (server.address() as AddressInfo).port,
      }],
      clock: SystemClock.create(),
      random: SeededRandom.create(1),
      log: SILENT_LOG,
    });
  const CALLS: Readonly<
    Record<
      StoreCall["kind"] | "operator rows",
      (relay: StoreRelay) => Promise<unknown>
    >
  > = {
    transact: (relay) =>
      relay.transact({ conditions: [], puts: [], deletes: [] }, TIMEOUT_MS),
    read: (relay) => relay.read("state", {}, TIMEOUT_MS),
    follow: (relay) => relay.follow("state", 1, 0, TIMEOUT_MS),
    "operator rows": (relay) => relay.fetchOperatorRows(0, TIMEOUT_MS),
  };

  async function call(
    kind: keyof typeof CALLS,
    bytes: Uint8Array,
  ): Promise<unknown> {
    answer = bytes;
    const relay = createRelay();
    try {
      return await CALLS[kind](relay);
    } finally {
      relay.close();
    }
  }

  // Guards against a call of the store that throws, which ends the loop that made it, and against an
  // outcome that its caller can't handle.
  it("count as lost, as the call may have taken effect", async () => {
    const versioned = NO_COUNTS.map((version) => ({ version }));
    const answers: Readonly<Record<keyof typeof CALLS, readonly unknown[]>> = {
      transact: [
        ...versioned.map((fields) => ({ kind: "committed", ...fields })),
        ...NO_ROWS.map((rows) => ({ kind: "conflict", rows })),
        { kind: "rows", rows: [], version: 1 },
        { kind: "history_lost" },
        { kind: "rejected" },
        { kind: "rejected", reason: 7 },
      ],
      read: [
        ...versioned.map((fields) => ({ kind: "rows", rows: [], ...fields })),
        ...NO_ROWS.map((rows) => ({ kind: "rows", rows, version: 1 })),
        { kind: "committed", version: 1 },
        { kind: "history_lost" },
        { kind: "rejected", reason: "status 400" },
      ],
      follow: [
        ...NO_ROWS.map((rows) => ({ kind: "rows", rows, version: 1 })),
        { kind: "conflict", rows: [] },
      ],
      "operator rows": NO_ROWS.map((rows) => ({ rows })),
    };
    for (const kind of Object.keys(CALLS) as (keyof typeof CALLS)[]) {
      const messages = [
        ...NO_FIELDS,
        {},
        { kind: 7 },
        { kind: "unknown" },
        { kind: "unavailable" },
        { kind: "unavailable", effect: "odd", reason: "x" },
        { kind: "unavailable", effect: "lost", reason: 7 },
        ...answers[kind],
      ];
      const bodies = [...messages.map((message) => pack(message))];
      for (const body of [...bodies, ...NO_MESSAGES]) {
        const outcome = await call(kind, body);
        const hint = `${kind} ${Buffer.from(body.subarray(0, 60)).toString()}`;
        expect(outcome, hint).to.include({
          kind: "unavailable",
          effect: "lost",
        });
      }
    }
  });

  it("are passed on when they are of the expected one", async () => {
    const conflict = { kind: "conflict", rows: [ROW] };
    const rows = {
      kind: "rows",
      rows: [ROW, { key: "b", version: 2, value: undefined }],
      version: 2,
    };
    const lost = { kind: "history_lost" };
    for (
      const [kind, message] of [
        ["transact", { kind: "committed", version: 3 }],
        ["transact", conflict],
        ["transact", { kind: "rejected", reason: "status 400" }],
        ["read", rows],
        ["follow", rows],
        ["follow", lost],
        ["operator rows", { rows: rows.rows }],
        ["read", REFUSED],
        ["operator rows", REFUSED],
      ] as const
    ) {
      const outcome = await call(kind, pack(message));
      expect(JSON.stringify(outcome)).to.equal(JSON.stringify(message));
    }
  });
});

describe("calls of peers of another shape", () => {
  // Guards against calls that reach the store, or its client, with values that it can't handle.
  it("are rejected as malformed and reach nothing", async () => {
    let calls = 0;
    const count = () => {
      calls++;
      return Promise.resolve(REFUSED);
    };
    const peer = PeerServer.create({
      limits: {
        connections: 100,
        unparsedBytes: 1_048_576,
        bodyBytes: 4_194_304,
      },
      clock: SystemClock.create(),
      address: { host: HOST, port: 0 },
      store: { transact: count, read: count, follow: count },
      isStoreDown: () => false,
      listOperatorRows: () => {
        calls++;
        return [];
      },
      log: SILENT_LOG,
    });
    await peer.listen();
    const post = (path: string, body: Uint8Array) =>
      new Promise<number | undefined>((resolve, reject) => {
        const outgoing = request(
          { host: HOST, port: peer.port, method: "POST", path },
          (response) => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
          },
        );
        outgoing.on("error", reject);
        outgoing.end(body);
      });
    const noTimes = [...NO_COUNTS.filter((value) => value !== 0.5), 60_001];
    const transaction = { conditions: [], puts: [], deletes: [] };
    const noTransactions = [
      ...NO_FIELDS,
      {},
      { ...transaction, deletes: [7] },
      { ...transaction, puts: [{ key: "a", value: "text" }] },
      { ...transaction, puts: [{ value: new Uint8Array(1) }] },
      ...NO_COUNTS.map((version) => ({
        ...transaction,
        conditions: [{ key: "a", version }],
      })),
    ];
    const noCalls: readonly unknown[] = [
      ...NO_FIELDS,
      {},
      { kind: "read" },
      { kind: "read", arguments: 7 },
      { kind: "read", arguments: {} },
      { kind: "read", arguments: [] },
      { kind: "drop", arguments: ["state", {}, 100] },
      { kind: "read", arguments: ["elsewhere", {}, 100] },
      { kind: "read", arguments: ["state", { fromKey: 7 }, 100] },
      { kind: "read", arguments: ["state", undefined, 100] },
      ...noTimes.map((timeoutMs) => ({
        kind: "read",
        arguments: ["state", {}, timeoutMs],
      })),
      ...NO_COUNTS.map((afterVersion) => ({
        kind: "follow",
        arguments: ["state", afterVersion, 0, 100],
      })),
      ...noTimes.map((longPollMs) => ({
        kind: "follow",
        arguments: ["state", 1, longPollMs, 100],
      })),
      ...noTransactions.map((item) => ({
        kind: "transact",
        arguments: [item, 100],
      })),
    ];
    for (const body of [...noCalls.map((call) => pack(call)), ...NO_MESSAGES]) {
      const hint = Buffer.from(body.subarray(0, 60)).toString();
      expect(await post(STORE_CALL_PATH, body), hint).to.equal(400);
    }
    const noListings = [
      ...NO_FIELDS,
      {},
      ...NO_COUNTS.map((afterVersion) => ({ afterVersion })),
    ];
    for (
      const body of [...noListings.map((call) => pack(call)), ...NO_MESSAGES]
    ) {
      expect(await post(OPERATOR_ROWS_PATH, body)).to.equal(400);
    }
    expect(calls).to.equal(0);
    const read = { kind: "read", arguments: ["state", {}, 100] };
    expect(await post(STORE_CALL_PATH, pack(read))).to.equal(200);
    expect(await post(OPERATOR_ROWS_PATH, pack({ afterVersion: 0 })))
      .to.equal(200);
    expect(calls).to.equal(2);
    peer.close();
  });
});
