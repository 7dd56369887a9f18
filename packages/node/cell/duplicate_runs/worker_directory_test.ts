import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import type { StateRow, StateStore } from "@coltsfootpond/ports";
import { expect } from "chai";
import { SILENT_LOG } from "../log.ts";
import { WorkerDirectory } from "../worker_directory.ts";
import { WorkerFake } from "../workers_fake.ts";

const HEARTBEAT_MS = 1_500;
const WORKER = "a" as WorkerName;
const UNREADABLE = new Uint8Array([1]);

/** A directory of one worker; `setHeartbeat` and `setRow` change its stored record. */
function createDirectory() {
  const clock = ManualClock.create();
  const { record } = WorkerFake.create(WORKER, clock, []);
  let heartbeat = 1;
  let isDraining = true;
  let incarnationStartUnixMs = 1;
  let value: Uint8Array | undefined = new Uint8Array(0);
  let suspendedMs = 0;
  let version = 0;
  const store = {
    read: () => {
      const rows: readonly StateRow[] = value === undefined
        ? []
        : [{ key: WORKER, version, value }];
      return Promise.resolve({ kind: "rows", rows, version: ++version });
    },
  } as unknown as StateStore;
  const directory = WorkerDirectory.create({
    store,
    recordDecoder: {
      decodeDeclaredState: () => undefined,
      classifyOperatorRow: () => ({ kind: "other" }),
      decodeWorkerTarget: () => undefined,
      decodeWorker: (_key, bytes) =>
        bytes === UNREADABLE
          ? { kind: "unusable", field: "value", expected: "a record" }
          : {
            kind: "record",
            record: {
              ...record,
              heartbeat,
              isDraining,
              incarnationStartUnixMs,
            },
          },
    },
    clock,
    nowUnixMs: () => clock.nowMs() + suspendedMs,
    log: SILENT_LOG,
    heartbeatMs: HEARTBEAT_MS,
  });
  const readAfter = async (durationMs: number) => {
    await clock.advance(durationMs);
    const { leftWorkers } = (await directory.read())!;
    return leftWorkers.map(({ worker }) => worker);
  };
  return {
    readAfter,
    beat: () => void heartbeat++,
    stopDraining: () => void (isDraining = false),
    restart: () => {
      incarnationStartUnixMs++;
      heartbeat = 1;
    },
    setRow: (row: Uint8Array | undefined) => void (value = row),
    /** The VM stands still: only the time of day goes on. */
    suspend: (durationMs: number) => void (suspendedMs += durationMs),
  };
}

/** A draining worker whose heartbeat was at most 700 ms old in the last read. */
async function createWithRecentHeartbeat() {
  const directory = createDirectory();
  await directory.readAfter(0);
  directory.beat();
  await directory.readAfter(5_000);
  directory.beat();
  await directory.readAfter(700);
  return directory;
}

describe("the directory of workers", () => {
  it("finds a draining worker whose record was removed before it could expire", async () => {
    const directory = await createWithRecentHeartbeat();
    directory.setRow(undefined);
    expect(await directory.readAfter(700)).to.deep.equal([WORKER]);
  });

  // Guards against a removal that is due to the silence of an earlier incarnation.
  it("does not take a worker as gone that has not announced its stop", async () => {
    const directory = await createWithRecentHeartbeat();
    directory.stopDraining();
    await directory.readAfter(700);
    directory.setRow(undefined);
    expect(await directory.readAfter(700)).to.deep.equal([]);
  });

  // The same for an incarnation that drains before the record of the earlier one has expired.
  it("does not take a worker as gone that has just started again", async () => {
    const directory = await createWithRecentHeartbeat();
    directory.restart();
    for (let read = 0; read < 6; read++) {
      await directory.readAfter(700);
      directory.beat();
    }
    directory.setRow(undefined);
    expect(await directory.readAfter(700)).to.deep.equal([]);
  });

  it("does not take a worker as gone whose record may have expired", async () => {
    const directory = await createWithRecentHeartbeat();
    directory.setRow(undefined);
    expect(await directory.readAfter(4_000)).to.deep.equal([]);
  });

  // Guards against measuring the age of a heartbeat by a clock that stops with the VM.
  it("counts the time for which its VM was suspended", async () => {
    const directory = await createWithRecentHeartbeat();
    directory.suspend(4_000);
    directory.setRow(undefined);
    expect(await directory.readAfter(700)).to.deep.equal([]);
  });

  // Guards against taking bytes that cannot be decoded for a removed record.
  it("does not take a worker as gone whose record cannot be read", async () => {
    const directory = await createWithRecentHeartbeat();
    directory.setRow(UNREADABLE);
    expect(await directory.readAfter(700)).to.deep.equal([]);
    directory.setRow(undefined);
    expect(await directory.readAfter(700)).to.deep.equal([]);
  });
});
