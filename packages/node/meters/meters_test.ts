/** Tests of the meters and of their Prometheus text. */
import { expect } from "chai";
import { brandId, ManualClock, type WriteId } from "@coltsfootpond/common";
import type { PlatformPorts } from "@coltsfootpond/ports";
import { createMeteredPlatform } from "./metered_platform.ts";
import { Meters } from "./meters.ts";
import { readProcessUsage } from "./process_usage.ts";
import { formatPrometheus } from "./prometheus.ts";

const OPTIONS = { timeoutMs: 100 };

function createFakePorts(clock: ManualClock): PlatformPorts {
  const after = async <Answer>(ms: number, answer: Answer): Promise<Answer> => {
    await clock.sleep(ms);
    return answer;
  };
  const row = {
    key: "a",
    version: 1,
    writeId: brandId<WriteId>("w"),
    value: 1,
  };
  return {
    table: {
      transact: () => after(20, { kind: "committed", rows: [row] }),
      read: () => after(10, { kind: "rows", rows: [row, row] }),
      scan: () => Promise.reject(new Error("broken port")),
    },
    objects: {
      put: () => after(5, { kind: "stored" }),
      get: () => after(5, { kind: "absent" }),
    },
    vms: { list: () => after(1, { kind: "list", vms: [] }) },
    fleet: {
      command: () => after(2, { kind: "statuses", statuses: [] }),
      report: () =>
        after(3, {
          kind: "report",
          report: { revision: 1, workers: [], tasks: [] },
        }),
    },
  };
}

describe("Meters", () => {
  it("counts bytes, messages, rows and latencies", async () => {
    const clock = ManualClock.create();
    const meters = Meters.create({
      clock,
      readUsage: () => ({ processorMs: 12.5, residentBytes: 1_000 }),
    });
    const ports = createMeteredPlatform(createFakePorts(clock), meters);
    meters.platform.table.addSent(100);
    meters.platform.table.addReceived(250);
    meters.addMeshSent("heartbeat", 60);
    meters.addMeshSent("heartbeat", 60);
    meters.addMeshReceived("job_ended", 20);
    const calls = Promise.all([
      ports.table.read(["a"], OPTIONS),
      ports.table.transact(
        {
          writeId: brandId<WriteId>("w"),
          conditions: [],
          writes: [
            { kind: "put", key: "a", value: 1 },
            { kind: "delete", key: "b" },
          ],
        },
        OPTIONS,
      ),
      ports.table.scan("a", OPTIONS).catch(() => "failed"),
      ports.objects.get("a", OPTIONS),
      ports.vms.list(OPTIONS),
    ]);
    await clock.advance(50);
    await calls;
    const snapshot = meters.snapshot();
    expect(snapshot).toMatchSnapshot();
    expect(formatPrometheus(snapshot)).toMatchSnapshot();
  });

  it("reads the usage of this process", () => {
    const usage = readProcessUsage();
    expect(usage.processorMs).to.be.greaterThan(0);
    expect(usage.residentBytes).to.be.greaterThan(1_000_000);
  });
});
