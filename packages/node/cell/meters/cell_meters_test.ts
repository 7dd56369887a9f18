import { ManualClock, SystemClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { SILENT_LOG } from "../log.ts";
import { createStoreFake } from "../test_fixtures.ts";
import { CellMeters, MAXIMUM_REASONS } from "./cell_meters.ts";
import { createMeteredStore } from "./metered_store.ts";
import { METRICS_PATH, MetricsServer } from "./metrics_server.ts";

describe("meters of the cell", () => {
  it("count events, calls and the store's answers, and report current gauges", async () => {
    const clock = ManualClock.create();
    const meters = CellMeters.create();
    const log = meters.countEvents(SILENT_LOG);
    log.info("unit.closing", { unit: "a", reason: "evicted" });
    log.info("unit.closing", { unit: "b", reason: "evicted" });
    log.warn("lease.lost", { reason: "taken by front-1" });
    log.info("job.refused", { job: "a", reason: "cannot end in time" });
    meters.noteCall("submit", 503, 3);
    meters.noteClosedConnection("body_limit");
    const store = createMeteredStore(createStoreFake(), { meters, clock });
    await store.read("state", {}, 100);
    let waitingJobs = 0;
    meters.setGaugeSource(() => ({
      callerConnections: {
        connections: 31,
        requestsInProgress: 3,
        unparsedBytes: 70,
        bodyBytes: 900,
      },
      callerLimits: {
        connections: 667,
        unparsedBytes: 1_000,
        bodyBytes: 2_000,
      },
      isLeaseHolder: true,
      epoch: 4,
      declaredVersion: 12,
      stateAgeMs: 1_500,
      operatorsAgeMs: 0,
      storeDownMs: 0,
      unreadableRows: 2,
      waitingJobs,
      begunJobs: 2,
      workers: 33,
      ignoredRecords: 2,
      reachableWorkers: 32,
      urgentHeadroom: 12,
      organisations: [{
        organisation: "o",
        running: { cpuMilli: 0, memoryMib: 0, accelerators: 298 },
        quota: undefined,
        weight: 2.5,
        guaranteedAccelerators: 48,
        waitingJobs: 3,
      }],
      openQueueCircuits: 1,
      openStepCircuits: 2,
      rejectedStarts: 16,
      slowWorkers: 5,
      fastWorkers: 6,
      measuredWorkers: 20,
    }));
    waitingJobs = 7;
    const lines = (await meters.format()).split("\n");
    for (
      const line of [
        'coltsfootpond_events_total{event="unit.closing"} 2',
        'coltsfootpond_event_reasons_total{event="unit.closing",reason="evicted"} 2',
        'coltsfootpond_events_total{event="lease.lost"} 1',
        'coltsfootpond_event_reasons_total{event="job.refused",reason="cannot end in time"} 1',
        'coltsfootpond_call_seconds_count{method="submit",status="503"} 1',
        'coltsfootpond_store_call_seconds_count{kind="read",outcome="rows"} 1',
        'coltsfootpond_closed_connections_total{reason="body_limit"} 1',
        "coltsfootpond_caller_connections 31",
        "coltsfootpond_caller_connections_limit 667",
        "coltsfootpond_caller_requests_in_progress 3",
        "coltsfootpond_caller_unparsed_bytes 70",
        "coltsfootpond_caller_unparsed_limit_bytes 1000",
        "coltsfootpond_caller_body_bytes 900",
        "coltsfootpond_caller_body_limit_bytes 2000",
        "coltsfootpond_lease_epoch 4",
        "coltsfootpond_state_age_seconds 1.5",
        "coltsfootpond_unreadable_rows 2",
        "coltsfootpond_waiting_jobs 7",
        "coltsfootpond_open_queue_circuits 1",
        "coltsfootpond_open_step_circuits 2",
        "coltsfootpond_rejected_starts 16",
        "coltsfootpond_urgent_headroom 12",
        'coltsfootpond_organisation_running{organisation="o",resource="accelerators"} 298',
        'coltsfootpond_organisation_quota{organisation="o",resource="accelerators"} 0',
        'coltsfootpond_organisation_weight{organisation="o"} 2.5',
        'coltsfootpond_organisation_guaranteed_accelerators{organisation="o"} 48',
        'coltsfootpond_organisation_waiting_jobs{organisation="o"} 3',
        "coltsfootpond_slow_workers 5",
        "coltsfootpond_fast_workers 6",
        "coltsfootpond_measured_workers 20",
      ]
    ) expect(lines).to.include(line);
    expect(lines.some((line) => line.includes("front-1"))).to.equal(false);
  });

  it("keep a bounded number of series, whatever reasons are given", async () => {
    const meters = CellMeters.create();
    const log = meters.countEvents(SILENT_LOG);
    const events = 3 * MAXIMUM_REASONS;
    for (let number = 0; number < events; number++) {
      log.info("unit.closing", { reason: `orders fenced by worker-${number}` });
    }
    const counts = (await meters.format()).split("\n").filter((line) =>
      line.startsWith("coltsfootpond_event_reasons_total")
    ).map((line) => Number(line.split(" ").at(-1)));
    expect(counts).to.have.lengthOf(MAXIMUM_REASONS + 1);
    expect(counts.reduce((sum, count) => sum + count, 0)).to.equal(events);
  });

  it("are all described in docs/METRICS.md, and no others", async () => {
    const text = await CellMeters.create().format();
    const registered = [...text.matchAll(/^# TYPE (\S+)/gm)].map(([, name]) =>
      name
    );
    const page = readFileSync("docs/METRICS.md", "utf8");
    const documented = [...page.matchAll(/^\| `([a-z_]+)/gm)].map(([, name]) =>
      name
    );
    expect(documented.sort()).to.deep.equal(registered.sort());
  });

  it("answer a failed scrape with status 500", async () => {
    const meters = CellMeters.create();
    meters.setGaugeSource(() => {
      throw new Error("not now");
    });
    const server = MetricsServer.create({
      meters,
      clock: SystemClock.create(),
      log: SILENT_LOG,
    });
    await server.listen({ host: "127.0.0.1", port: 0 });
    const answer = await fetch(
      `http://127.0.0.1:${server.port}${METRICS_PATH}`,
    );
    expect(answer.status).to.equal(500);
    server.close();
  });

  it("are served as text", async () => {
    const server = MetricsServer.create({
      meters: CellMeters.create(),
      clock: SystemClock.create(),
      log: SILENT_LOG,
    });
    await server.listen({ host: "127.0.0.1", port: 0 });
    const base = `http://127.0.0.1:${server.port}`;
    const answer = await fetch(`${base}${METRICS_PATH}`);
    expect(answer.status).to.equal(200);
    expect(await answer.text()).to.include("process_resident_memory_bytes");
    expect((await fetch(`${base}/other`)).status).to.equal(404);
    server.close();
  });
});
