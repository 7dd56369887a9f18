import { expect } from "chai";
import type { WorkerName } from "@coltsfootpond/common";
import {
  type RejectionKind,
  StartCircuit,
  type StartRejection,
} from "./start_circuit.ts";

function createRejection(
  overrides: Partial<StartRejection> & { readonly by?: string } = {},
): StartRejection {
  const { by = "w0", ...fields } = overrides;
  return {
    kind: "unauthorized",
    reason: "no_ticket",
    source: "job.0",
    worker: by as WorkerName,
    incarnationStartUnixMs: 1,
    startCount: 1,
    sentMs: 0,
    atMs: 5,
    ...fields,
  };
}

/** Rejections one after the other, each by another worker; the times are those of the rejections. */
function rejectInTurn(
  circuit: StartCircuit,
  kind: RejectionKind,
  count: number,
): readonly number[] {
  const times: number[] = [];
  let nowMs = 0;
  for (let number = 0; number < count; number++) {
    circuit.recordRejection(
      createRejection({
        kind,
        by: `w${number}`,
        sentMs: nowMs,
        atMs: nowMs + 5,
      }),
      1,
    );
    times.push(nowMs + 5);
    nowMs = circuit.isOpen ? circuit.nextTrialMs : nowMs + 10;
  }
  return times;
}

describe("a start circuit", () => {
  it("opens at one rejection of the work, and at three in a row of an unspecific kind", () => {
    const open = (kind: RejectionKind, count: number) => {
      const circuit = StartCircuit.create();
      rejectInTurn(circuit, kind, count);
      return circuit.isOpen;
    };
    expect(open("unauthorized", 1)).to.equal(true);
    expect(open("malformed", 1)).to.equal(true);
    expect(open("unspecific", 2)).to.equal(false);
    expect(open("unspecific", 3)).to.equal(true);
  });

  // Guards against a circuit that opens as several workers are lost at the same moment.
  it("counts starts that were sent together as one piece of evidence", () => {
    const circuit = StartCircuit.create();
    for (let number = 0; number < 20; number++) {
      circuit.recordRejection(
        createRejection({
          kind: "unspecific",
          by: `w${number}`,
          sentMs: number,
          atMs: 250 + number,
        }),
        1,
      );
    }
    expect(circuit.isOpen).to.equal(false);
  });

  it("opens only at the number of sources that is asked for", () => {
    const circuit = StartCircuit.create();
    const opened = ["a.0", "a.0", "b.0"].map((source, number) =>
      circuit.recordRejection(
        createRejection({ source, sentMs: 10 * number, atMs: 10 * number + 5 }),
        2,
      )
    );
    expect(opened).to.deep.equal([false, false, true]);
  });

  it("tries eight workers within a second, and then seldom", () => {
    const times = rejectInTurn(StartCircuit.create(), "unauthorized", 30);
    expect(times[7]).to.be.below(1_000);
    expect(times[29]! - times[28]!).to.be.within(2_000, 2_010);
  });

  // Guards against gangs of which each trial is a burst of rejected starts.
  it("waits the longer the more starts a trial consists of", () => {
    const computeDelayMs = (startCount: number) => {
      const circuit = StartCircuit.create();
      circuit.recordRejection(createRejection({ startCount, atMs: 5 }), 1);
      return circuit.nextTrialMs - 5;
    };
    expect([1, 4, 256].map(computeDelayMs)).to.deep.equal([20, 80, 2_000]);
  });

  it("closes once a unit has started, and still avoids the workers that rejected", () => {
    const circuit = StartCircuit.create();
    rejectInTurn(circuit, "unauthorized", 2);
    circuit.recordAcceptance("w2" as WorkerName);
    expect(circuit.close()).to.equal(true);
    expect(circuit.isOpen).to.equal(false);
    const listRejecting = (nowMs: number, incarnation: number) =>
      circuit.listRejecting(nowMs, () => incarnation);
    expect(listRejecting(100, 1)).to.deep.equal(["w0", "w1"]);
    // Another process of the worker has rejected nothing.
    expect(listRejecting(100, 2)).to.deep.equal([]);
    expect(listRejecting(20_000, 1)).to.deep.equal([]);
  });

  it("attributes rejections to the work once several workers agree, or one accepts others", () => {
    const circuit = StartCircuit.create();
    rejectInTurn(circuit, "malformed", 1);
    expect(circuit.isAttributedToWork(0)).to.equal(false);
    expect(circuit.isAttributedToWork(10)).to.equal(true);
    circuit.recordRejection(
      createRejection({ by: "w1", sentMs: 20, atMs: 25 }),
      1,
    );
    expect(circuit.isAttributedToWork(0)).to.equal(true);
  });

  // Guards against work that is stopped again and again for a unit that no worker starts.
  it("lets a trial evict once on each worker, until the delays are longest", () => {
    const circuit = StartCircuit.create();
    expect(circuit.getEvictionLimit(0)).to.equal(undefined);
    const few = rejectInTurn(circuit, "unauthorized", 3);
    expect(circuit.getEvictionLimit(few[2]!)).to.deep.equal({
      kind: "except",
      workers: new Set(["w0", "w1", "w2"]),
    });
    const many = StartCircuit.create();
    const lastMs = rejectInTurn(many, "unauthorized", 15).at(-1)!;
    expect(many.getEvictionLimit(lastMs)).to.deep.equal({ kind: "nowhere" });
    // Nothing has been tried for so long that the rejections tell little.
    expect(many.getEvictionLimit(lastMs + 8_001)).to.equal(undefined);
  });

  // Guards against a gang for which a full cell is emptied every few seconds.
  it("lets a trial evict after twice the time each time that it is rejected", () => {
    const circuit = StartCircuit.create();
    let nowMs = rejectInTurn(circuit, "unauthorized", 15).at(-1)!;
    for (const lifetimeMs of [8_000, 16_000, 32_000]) {
      expect(circuit.isOutdated(nowMs + lifetimeMs)).to.equal(false);
      const sentMs = nowMs + lifetimeMs + 1;
      expect(circuit.isOutdated(sentMs)).to.equal(true);
      nowMs = sentMs + 5;
      circuit.recordRejection(createRejection({ sentMs, atMs: nowMs }), 1);
    }
  });

  // Guards against memory that grows with the number of workers and rejections.
  it("keeps the workers that are avoided only for as long as they are", () => {
    const circuit = StartCircuit.create();
    rejectInTurn(circuit, "unauthorized", 1_000);
    expect(circuit.summarise().workers.length).to.be.at.most(6);
    circuit.close();
    expect(circuit.isIdle(Number.MAX_SAFE_INTEGER)).to.equal(true);
  });
});
