/** The meters of one entry: control traffic, processor time, memory, table use and latencies. */
import type { Clock } from "@coltsfootpond/common";
import type { PlatformMeters } from "@coltsfootpond/ports";
import type { MeshMessage } from "../mesh/messages.ts";
import {
  type LatencyArea,
  LatencyRecorder,
  type LatencySummary,
} from "./latency.ts";
import { type ProcessUsage, readProcessUsage } from "./process_usage.ts";
import { TrafficCounter, type TrafficCounts } from "./traffic.ts";

type MeshMessageKind = MeshMessage["kind"];
type PlatformService = keyof PlatformMeters;

/** Traffic of one service of the platform. */
export interface PlatformTraffic extends TrafficCounts {
  readonly service: PlatformService;
}

/** Traffic of one kind of mesh message; `all` counts the frames of every kind. */
export interface MeshTraffic extends TrafficCounts {
  readonly kind: MeshMessageKind | "all";
}

/** Use of the table service, in calls and in rows. */
export interface TableUse {
  readonly readCalls: number;
  readonly readRows: number;
  readonly writeCalls: number;
  readonly writeRows: number;
}

/** Values of all meters; the counts are totals since the process started. */
export interface MetersSnapshot extends ProcessUsage {
  readonly uptimeMs: number;
  readonly platform: readonly PlatformTraffic[];
  readonly mesh: readonly MeshTraffic[];
  readonly table: TableUse;
  readonly latencies: readonly LatencySummary[];
}

export interface MetersOptions {
  readonly clock: Clock;
  readonly readUsage?: () => ProcessUsage;
}

/** One per entry. The mesh and the platform's ports record into it; `/v1/metrics` reads it. */
export class Meters {
  readonly platform: PlatformMeters;
  readonly #counters: Readonly<Record<PlatformService, TrafficCounter>>;
  readonly #meshTotal = TrafficCounter.create();
  readonly #mesh = new Map<MeshMessageKind, TrafficCounter>();
  readonly #latencies = LatencyRecorder.create();
  readonly #clock: Clock;
  readonly #readUsage: () => ProcessUsage;
  readonly #startedMs: number;
  #table: TableUse = { readCalls: 0, readRows: 0, writeCalls: 0, writeRows: 0 };

  private constructor(options: MetersOptions) {
    this.#clock = options.clock;
    this.#readUsage = options.readUsage ?? readProcessUsage;
    this.#startedMs = options.clock.nowMs();
    this.#counters = {
      table: TrafficCounter.create(),
      objects: TrafficCounter.create(),
      vms: TrafficCounter.create(),
      fleet: TrafficCounter.create(),
    };
    this.platform = this.#counters;
  }

  static create(options: MetersOptions): Meters {
    return new Meters(options);
  }

  /** Counts one mesh frame under its kind and in the total; `bytes` includes the framing. */
  addMeshSent(kind: MeshMessageKind, bytes: number): void {
    this.#meshTotal.addSent(bytes);
    this.#getMesh(kind).addSent(bytes);
  }

  addMeshReceived(kind: MeshMessageKind, bytes: number): void {
    this.#meshTotal.addReceived(bytes);
    this.#getMesh(kind).addReceived(bytes);
  }

  addTableRead(rows: number): void {
    const { readCalls, readRows } = this.#table;
    this.#table = {
      ...this.#table,
      readCalls: readCalls + 1,
      readRows: readRows + rows,
    };
  }

  addTableWrite(rows: number): void {
    const { writeCalls, writeRows } = this.#table;
    this.#table = {
      ...this.#table,
      writeCalls: writeCalls + 1,
      writeRows: writeRows + rows,
    };
  }

  recordLatency(area: LatencyArea, durationMs: number): void {
    this.#latencies.record(area, durationMs);
  }

  /** Records the duration of a call, also of one that fails. */
  async time<Answer>(
    area: LatencyArea,
    call: () => Promise<Answer>,
  ): Promise<Answer> {
    const startedMs = this.#clock.nowMs();
    try {
      return await call();
    } finally {
      this.recordLatency(area, this.#clock.nowMs() - startedMs);
    }
  }

  snapshot(): MetersSnapshot {
    return {
      ...this.#readUsage(),
      uptimeMs: this.#clock.nowMs() - this.#startedMs,
      platform: Object.entries(this.#counters).map(([service, counter]) => ({
        service: service as PlatformService,
        ...counter.snapshot(),
      })),
      mesh: [
        { kind: "all", ...this.#meshTotal.snapshot() },
        ...[...this.#mesh].map(([kind, counter]) => ({
          kind,
          ...counter.snapshot(),
        })),
      ],
      table: this.#table,
      latencies: this.#latencies.snapshot(),
    };
  }

  #getMesh(kind: MeshMessageKind): TrafficCounter {
    const known = this.#mesh.get(kind);
    if (known !== undefined) return known;
    const created = TrafficCounter.create();
    this.#mesh.set(kind, created);
    return created;
  }
}
