import {
  type AttemptId,
  brandId,
  type EntryName,
  type FailureDomainName,
  type WriteId,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { PlatformPorts } from "../types.ts";
import { createHttpPlatform } from "./http_platform.ts";

const HOST = "127.0.0.1";
const OPTIONS = { timeoutMs: 2_000 };
const ROW = { key: "a", version: 1, writeId: "w", value: {} };
const VM = { name: "r", role: "runner", state: "live", host: HOST, port: 80 };
const NO_ANSWERS = ["null", "7", "[]", '"x"', "{}", '{"kind":"odd"}', "", "{"];
const NO_ROWS = [
  undefined,
  null,
  {},
  [null],
  [7],
  [{}],
  [ROW, { ...ROW, key: 7 }],
  [ROW, { ...ROW, version: "1" }],
  [ROW, { ...ROW, value: undefined }],
];

describe("answers of the platform's services of another shape", () => {
  let server: Server;
  let answer = "";
  let ports: PlatformPorts;

  beforeEach(async () => {
    server = createServer((incoming, response) => {
      incoming.resume();
      incoming.on("end", () => response.end(answer));
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as AddressInfo;
    ports = createHttpPlatform({ host: HOST, port });
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  const failureDomain = brandId<FailureDomainName>("d");
  const transact = () =>
    ports.table.transact({
      writeId: brandId<WriteId>("w"),
      conditions: [],
      writes: [],
    }, OPTIONS);
  const read = () => ports.table.read([], OPTIONS);
  const scan = () => ports.table.scan("", OPTIONS);
  const list = () => ports.vms.list({ ...OPTIONS, knownRevision: "" });
  const command = () =>
    ports.fleet.command({
      failureDomain,
      epoch: 1,
      entry: brandId<EntryName>("e"),
      commands: [],
    }, OPTIONS);
  const report = () =>
    ports.fleet.report({
      failureDomain,
      sinceRevision: 0,
      forget: [] as readonly AttemptId[],
    }, OPTIONS);

  async function expectLost(
    call: () => Promise<{ readonly kind: string }>,
    texts: readonly string[],
  ): Promise<void> {
    for (const text of texts) {
      answer = text;
      expect(await call(), text).to.include({
        kind: "unavailable",
        effect: "lost",
      });
    }
  }

  // Guards against a TypeError in a loop that nobody awaits, which ends the process.
  it("count as lost", async () => {
    for (const call of [transact, read, scan, list, command, report]) {
      await expectLost(call, NO_ANSWERS);
    }
    const toTexts = (kind: string) =>
      NO_ROWS.map((rows) => JSON.stringify({ kind, rows }));
    await expectLost(read, [...toTexts("rows"), ...toTexts("committed")]);
    await expectLost(scan, toTexts("rows"));
    await expectLost(transact, [
      ...toTexts("committed"),
      ...toTexts("conflict"),
      ...toTexts("rows"),
    ]);
    await expectLost(command, [
      '{"kind":"statuses"}',
      '{"kind":"statuses","statuses":["odd"]}',
    ]);
    const workers = [{ name: "w", rack: "r", resources: {}, state: "up" }];
    await expectLost(
      report,
      [
        undefined,
        {},
        { revision: "1", workers, tasks: [] },
        { revision: 1, workers: [{ name: "w" }], tasks: [] },
        { revision: 1, workers, tasks: [{}] },
        { revision: 1, workers, tasks: [null] },
      ].map((content) => JSON.stringify({ kind: "report", report: content })),
    );
  });

  // Guards against a request to a runner that throws instead of failing.
  it("lack only those VMs to which no connection can be opened", async () => {
    const odd = [
      ...[7, null, {}, []],
      ...[99_999, 0, -1, 1.5, "80", null].map((port) => ({ ...VM, port })),
      ...["", "a b", "\0", "a#b", 7].map((host) => ({ ...VM, host })),
      { ...VM, name: "" },
      { ...VM, role: "odd" },
      { ...VM, state: 7 },
      { ...VM, slots: -1 },
      { ...VM, slots: 1.5 },
      { ...VM, service: 7 },
    ];
    const vms = [...odd, VM, { ...VM, name: "s", slots: 4, service: "x" }];
    answer = JSON.stringify({ kind: "list", vms, revision: "1" });
    expect(await list()).to.deep.equal({
      kind: "list",
      vms: vms.slice(odd.length),
      revision: "1",
    });
  });

  it("are passed on when they are of the expected one", async () => {
    const refused = { kind: "unavailable", effect: "refused", reason: "x" };
    for (
      const [call, content] of [
        [transact, { kind: "committed", rows: [ROW] }],
        [transact, { kind: "conflict", rows: [] }],
        [read, { kind: "rows", rows: [ROW, { ...ROW, value: null }] }],
        [list, { kind: "unchanged" }],
        [list, { kind: "list", vms: [] }],
        [command, { kind: "statuses", statuses: ["done", "no_hold"] }],
        [report, {
          kind: "report",
          report: { revision: 0, workers: [], tasks: [] },
        }],
        [read, refused],
      ] as const
    ) {
      answer = JSON.stringify(content);
      expect(await call(), answer).to.deep.equal(content);
    }
  });
});
