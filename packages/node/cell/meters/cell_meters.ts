/**
 * Metrics of one entry of the cell, for Prometheus. Every logged event is counted by name, so
 * decisions and state changes need no counters of their own. Durations are measured where they
 * occur and gauges are read at each scrape. Label values come from bounded sets only.
 */
import process from "node:process";
import type { Clock } from "@coltsfootpond/common";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { BACKGROUND_ACTIVITY } from "../background/activities.ts";
import { guard } from "../background/run_in_background.ts";
import { FAILURE_EVENT } from "../background/report_failure.ts";
import type { CellLog, LogFields } from "../log.ts";
import type { OrganisationGauges } from "../quotas/organisation_gauges.ts";
import type { CloseReason } from "../../connections/close_reasons.ts";
import type { ConnectionLimits } from "../../connections/connection_limits.ts";
import type { ConnectionUsage } from "../../connections/connection_pool.ts";
import { registerOrganisationGauges } from "./organisation_meters.ts";

const MS_PER_SECOND = 1_000;
/** From a store at its usual 4 ms to one that takes its whole time-out. */
const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];
/** Events whose reason is one of a fixed set of words. */
const EVENTS_WITH_REASON: ReadonlySet<string> = new Set([
  "unit.closing",
  "task.gone",
  "task.start_refused",
  "job.refused",
  "job.admitted_by_floor",
]);
/** Distinct reasons that get a time series of their own; there are about 30. */
export const MAXIMUM_REASONS = 64;
const OTHER_REASONS = "other";
const ACTIVITIES: ReadonlySet<unknown> = new Set(
  Object.values(BACKGROUND_ACTIVITY),
);
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Values of the gauges, read at each scrape. */
export interface GaugeValues {
  readonly callerConnections: ConnectionUsage;
  readonly callerLimits: ConnectionLimits;
  readonly isLeaseHolder: boolean;
  readonly epoch: number;
  readonly declaredVersion: number;
  readonly stateAgeMs: number;
  readonly operatorsAgeMs: number;
  readonly storeDownMs: number;
  readonly unreadableRows: number;
  readonly waitingJobs: number;
  readonly begunJobs: number;
  readonly workers: number;
  readonly ignoredRecords: number;
  readonly reachableWorkers: number;
  readonly urgentHeadroom: number;
  readonly openQueueCircuits: number;
  readonly openStepCircuits: number;
  readonly rejectedStarts: number;
  readonly organisations: readonly OrganisationGauges[];
  readonly slowWorkers: number;
  readonly fastWorkers: number;
  readonly measuredWorkers: number;
}

/** The metrics of one process. */
export class CellMeters {
  readonly #registry = new Registry();
  readonly #events = this.#counter("events", "Logged events.", ["event"]);
  readonly #reasons = this.#counter(
    "event_reasons",
    "Logged events with the reason that they give.",
    ["event", "reason"],
  );
  readonly #failures = this.#counter(
    "background_failures",
    "Errors of background activities.",
    ["activity"],
  );
  readonly #calls = this.#histogram(
    "call_seconds",
    "Time to answer callers, by method and status.",
    ["method", "status"],
  );
  readonly #closedConnections = this.#counter(
    "closed_connections",
    "Connections that were closed although their clients might have gone on.",
    ["reason"],
  );
  readonly #storeCalls = this.#histogram(
    "store_call_seconds",
    "Time of calls of the store, by kind and outcome.",
    ["kind", "outcome"],
  );
  readonly #loopDelay = this.#histogram(
    "event_loop_delay_seconds",
    "How late a regular timer fires.",
    [],
  );
  readonly #knownReasons = new Set<string>();
  #readGauges: (() => GaugeValues) | undefined;

  private constructor() {
    this.#registerGauges();
  }

  static create(): CellMeters {
    return new CellMeters();
  }

  /** Wraps a log so that its events are counted. */
  countEvents(log: CellLog): CellLog {
    return {
      info: (event, fields) => {
        this.#countEvent(event, fields);
        log.info(event, fields);
      },
      warn: (event, fields) => {
        this.#countEvent(event, fields);
        log.warn(event, fields);
      },
    };
  }

  noteCall(method: string, status: number, tookMs: number): void {
    this.#calls.observe({ method, status }, tookMs / MS_PER_SECOND);
  }

  /** The reasons are a fixed set. */
  noteClosedConnection(reason: CloseReason): void {
    this.#closedConnections.inc({ reason });
  }

  noteStoreCall(kind: string, outcome: string, tookMs: number): void {
    this.#storeCalls.observe({ kind, outcome }, tookMs / MS_PER_SECOND);
  }

  /** Observes how late a timer of `periodMs` fires, until the process ends. */
  watchEventLoop(clock: Clock, periodMs: number, log: CellLog): void {
    let dueMs = clock.nowMs() + periodMs;
    const observe = guard(log, BACKGROUND_ACTIVITY.WATCH_EVENT_LOOP, () => {
      const nowMs = clock.nowMs();
      this.#loopDelay.observe(Math.max(0, nowMs - dueMs) / MS_PER_SECOND);
      dueMs = nowMs + periodMs;
    });
    clock.every(periodMs, observe);
  }

  /** Sets the function that returns the gauges' values at a scrape. */
  setGaugeSource(read: () => GaugeValues): void {
    this.#readGauges = read;
  }

  /** All metrics in the Prometheus text format. */
  format(): Promise<string> {
    return this.#registry.metrics();
  }

  get contentType(): string {
    return this.#registry.contentType;
  }

  #countEvent(event: string, fields: LogFields | undefined): void {
    this.#events.inc({ event });
    const activity = fields?.activity;
    if (event === FAILURE_EVENT && ACTIVITIES.has(activity)) {
      this.#failures.inc({ activity: String(activity) });
    }
    const reason = fields?.reason;
    if (typeof reason !== "string" || !EVENTS_WITH_REASON.has(event)) return;
    if (this.#knownReasons.size < MAXIMUM_REASONS) {
      this.#knownReasons.add(reason);
    }
    const isKnown = this.#knownReasons.has(reason);
    this.#reasons.inc({ event, reason: isKnown ? reason : OTHER_REASONS });
  }

  #registerGauges(): void {
    const gauges: Readonly<
      Record<string, readonly [string, (gauges: GaugeValues) => number]>
    > = {
      lease_held: [
        "1 on the entry that schedules.",
        ({ isLeaseHolder }) => Number(isLeaseHolder),
      ],
      lease_epoch: ["Epoch of the lease held.", ({ epoch }) => epoch],
      declared_version: [
        "Version of the declared state in force.",
        ({ declaredVersion }) => declaredVersion,
      ],
      caller_connections: [
        "Open connections of callers.",
        ({ callerConnections }) => callerConnections.connections,
      ],
      caller_connections_limit: [
        "Most connections of callers.",
        ({ callerLimits }) => callerLimits.connections,
      ],
      caller_requests_in_progress: [
        "Requests of callers whose heads were read and that are not answered.",
        ({ callerConnections }) => callerConnections.requestsInProgress,
      ],
      caller_unparsed_bytes: [
        "Memory of what callers have sent and waits for its turn.",
        ({ callerConnections }) => callerConnections.unparsedBytes,
      ],
      caller_unparsed_limit_bytes: [
        "Most of it.",
        ({ callerLimits }) => callerLimits.unparsedBytes,
      ],
      caller_body_bytes: [
        "Memory of the bodies of callers' requests in progress.",
        ({ callerConnections }) => callerConnections.bodyBytes,
      ],
      caller_body_limit_bytes: [
        "Most of it.",
        ({ callerLimits }) => callerLimits.bodyBytes,
      ],
      state_age_seconds: [
        "Since the store last told of the state table.",
        ({ stateAgeMs }) => stateAgeMs / MS_PER_SECOND,
      ],
      operators_age_seconds: [
        "Since the store last told of the operators' table.",
        ({ operatorsAgeMs }) => operatorsAgeMs / MS_PER_SECOND,
      ],
      store_down_seconds: [
        "How long every path to the store has failed.",
        ({ storeDownMs }) => storeDownMs / MS_PER_SECOND,
      ],
      unreadable_rows: [
        "Rows of the state table that this entry cannot decode.",
        ({ unreadableRows }) => unreadableRows,
      ],
      waiting_jobs: ["Jobs not begun.", ({ waitingJobs }) => waitingJobs],
      begun_jobs: ["Jobs begun and not ended.", ({ begunJobs }) => begunJobs],
      workers: ["Workers the holder knows.", ({ workers }) => workers],
      ignored_worker_records: [
        "Rows of the workers' table that name no worker to use.",
        ({ ignoredRecords }) => ignoredRecords,
      ],
      reachable_workers: [
        "Workers that answer the holder.",
        ({ reachableWorkers }) => reachableWorkers,
      ],
      urgent_headroom: [
        "Accelerators that other work leaves to urgent jobs.",
        ({ urgentHeadroom }) => urgentHeadroom,
      ],
      open_queue_circuits: [
        "Queues of which only trials start, as workers reject their starts.",
        ({ openQueueCircuits }) => openQueueCircuits,
      ],
      open_step_circuits: [
        "Steps of which only trials start, as workers reject their starts.",
        ({ openStepCircuits }) => openStepCircuits,
      ],
      rejected_starts: [
        "Starts that workers have rejected since the lease was acquired.",
        ({ rejectedStarts }) => rejectedStarts,
      ],
      slow_workers: [
        "Workers slower than usual.",
        ({ slowWorkers }) => slowWorkers,
      ],
      fast_workers: [
        "Workers faster than usual.",
        ({ fastWorkers }) => fastWorkers,
      ],
      measured_workers: [
        "Workers whose speed enough tasks have shown.",
        ({ measuredWorkers }) => measuredWorkers,
      ],
    };
    for (const [name, [help, read]] of Object.entries(gauges)) {
      const readGauges = () => this.#readGauges?.();
      new Gauge({
        name: `coltsfootpond_${name}`,
        help,
        registers: [this.#registry],
        collect() {
          const now = readGauges();
          if (now !== undefined) this.set(read(now));
        },
      });
    }
    registerOrganisationGauges(
      this.#registry,
      () => this.#readGauges?.().organisations,
    );
    this.#registerProcess();
  }

  #registerProcess(): void {
    new Gauge({
      name: "process_resident_memory_bytes",
      help: "Resident memory.",
      registers: [this.#registry],
      collect() {
        this.set(process.memoryUsage.rss());
      },
    });
    new Counter({
      name: "process_cpu_seconds_total",
      help: "Processor time of the process.",
      registers: [this.#registry],
      collect() {
        const { user, system } = process.cpuUsage();
        this.reset();
        this.inc((user + system) / MICROSECONDS_PER_SECOND);
      },
    });
  }

  #counter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name: `coltsfootpond_${name}_total`,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }

  #histogram(name: string, help: string, labelNames: string[]): Histogram {
    return new Histogram({
      name: `coltsfootpond_${name}`,
      help,
      labelNames,
      buckets: SECONDS_BUCKETS,
      registers: [this.#registry],
    });
  }
}
