/** Records latencies in HDR histograms, one for each kind of operation. */
import type { ValueOf } from "@coltsfootpond/common";
import { build, type Histogram } from "hdr-histogram-js";

/** The operation whose latency was measured; the metric label `area`. */
export const LATENCY_AREA = {
  TABLE_READ: "table_read",
  TABLE_WRITE: "table_write",
  OBJECT: "object",
  VM_LIST: "vm_list",
  FLEET_COMMAND: "fleet_command",
  FLEET_REPORT: "fleet_report",
  MESH_ROUND_TRIP: "mesh_round_trip",
  CALL: "call",
  JOB_START: "job_start",
  PLACEMENT: "placement",
  CONFIGURATION_CHANGE: "configuration_change",
} as const;
export type LatencyArea = ValueOf<typeof LATENCY_AREA>;

/** Percentiles of one area in milliseconds, since the process started. */
export interface LatencySummary {
  readonly area: LatencyArea;
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maximumMs: number;
}

const MICROSECONDS_PER_MS = 1_000;
/** One hour; a longer duration is recorded as this. */
const HIGHEST_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Records durations by area; the histogram of an area is created on first use. */
export class LatencyRecorder {
  readonly #histograms = new Map<LatencyArea, Histogram>();

  private constructor() {}

  static create(): LatencyRecorder {
    return new LatencyRecorder();
  }

  record(area: LatencyArea, durationMs: number): void {
    const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
    const bounded = Math.min(Math.max(microseconds, 1), HIGHEST_MICROSECONDS);
    this.#getHistogram(area).recordValue(bounded);
  }

  snapshot(): readonly LatencySummary[] {
    return [...this.#histograms].map(([area, histogram]) => ({
      area,
      count: histogram.totalCount,
      p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
      maximumMs: histogram.maxValue / MICROSECONDS_PER_MS,
    }));
  }

  #getHistogram(area: LatencyArea): Histogram {
    const known = this.#histograms.get(area);
    if (known !== undefined) return known;
    const created = build({
      bitBucketSize: 32,
      autoResize: true,
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_MICROSECONDS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    this.#histograms.set(area, created);
    return created;
  }
}
