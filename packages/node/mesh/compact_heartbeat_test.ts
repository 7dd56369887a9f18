/** Tests of the heartbeat's codec. */
import { expect } from "chai";
import { Packr } from "msgpackr";
import { decodeMessage, encodeMessage } from "./codec.ts";
import type { MeshMessage } from "./messages.ts";

const HEARTBEAT = {
  kind: "heartbeat",
  sequence: 120_000,
  configurationVersion: 1_204,
  configurationAgeMs: 1_400,
  tableReachable: true,
  leaving: false,
  membersVersion: 9_000,
  factsDigest: 0xfedcba98,
  settled: true,
  holdings: [{ failureDomain: "landsberg" as never, epoch: 17 }],
} as const satisfies MeshMessage;

describe("heartbeat codec", () => {
  it("decodes what it encodes, with the age rounded up, in a small frame", () => {
    const old = { ...HEARTBEAT, configurationAgeMs: Number.MAX_SAFE_INTEGER };
    const leaving = { ...HEARTBEAT, tableReachable: false, leaving: true };
    for (const heartbeat of [HEARTBEAT, old, leaving]) {
      expect(decodeMessage(encodeMessage(heartbeat))).to.eql(heartbeat);
    }
    const fractional = { ...HEARTBEAT, configurationAgeMs: 1_399.2 };
    expect(decodeMessage(encodeMessage(fractional))).to.eql(HEARTBEAT);
    expect(encodeMessage(HEARTBEAT).byteLength).to.be.lessThan(40);
  });

  it("refuses malformed heartbeats", () => {
    const packr = new Packr({ useRecords: false });
    const wrong = [
      [],
      [1, 2, 3, 4, 5, 6],
      [1, 2, -3, 0, 1, 1, []],
      [1, 2, 3, 0, 1, 1, [["a"]]],
    ];
    for (const content of wrong) {
      expect(() => decodeMessage(packr.pack(content))).to.throw(
        "frame is not a compact heartbeat",
      );
    }
  });
});
