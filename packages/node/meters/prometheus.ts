/** Formats a snapshot of the meters as Prometheus text exposition format, version 0.0.4. */
import type { LatencySummary } from "./latency.ts";
import type { MetersSnapshot } from "./meters.ts";
import type { TrafficCounts } from "./traffic.ts";

const PREFIX = "coltsfootpond";

/** A metric with its samples. */
interface Metric {
  readonly name: string;
  readonly type: "counter" | "gauge" | "summary";
  readonly help: string;
  readonly samples: readonly Sample[];
}

interface Sample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
  /** Appended to the metric's name. */
  readonly suffix?: string;
}

/** Formats every meter of the snapshot for `/v1/metrics`. */
export function formatPrometheus(snapshot: MetersSnapshot): string {
  const metrics = [
    ...listProcessMetrics(snapshot),
    ...listTrafficMetrics(
      "platform",
      snapshot.platform.map((counts) => ({
        labels: { service: counts.service },
        counts,
      })),
    ),
    ...listTrafficMetrics(
      "mesh",
      snapshot.mesh.map((counts) => ({
        labels: { kind: counts.kind },
        counts,
      })),
    ),
    ...listTableMetrics(snapshot),
    createLatencyMetric(snapshot),
  ];
  return metrics.map(formatMetric).join("");
}

function listProcessMetrics(snapshot: MetersSnapshot): readonly Metric[] {
  return [
    {
      name: "processor_ms_total",
      type: "counter",
      help: "Processor time of the process in milliseconds.",
      samples: [{ labels: {}, value: snapshot.processorMs }],
    },
    {
      name: "resident_bytes",
      type: "gauge",
      help: "Resident memory of the process in bytes.",
      samples: [{ labels: {}, value: snapshot.residentBytes }],
    },
    {
      name: "uptime_ms",
      type: "gauge",
      help: "Time since the meters started in milliseconds.",
      samples: [{ labels: {}, value: snapshot.uptimeMs }],
    },
  ];
}

interface LabelledCounts {
  readonly labels: Readonly<Record<string, string>>;
  readonly counts: TrafficCounts;
}

function listTrafficMetrics(
  area: "platform" | "mesh",
  items: readonly LabelledCounts[],
): readonly Metric[] {
  const create = (
    unit: "bytes" | "messages",
    help: string,
    sent: keyof TrafficCounts,
    received: keyof TrafficCounts,
  ): Metric => ({
    name: `${area}_${unit}_total`,
    type: "counter",
    help,
    samples: items.flatMap(({ labels, counts }) => [
      { labels: { ...labels, direction: "sent" }, value: counts[sent] },
      { labels: { ...labels, direction: "received" }, value: counts[received] },
    ]),
  });
  return [
    create("bytes", `Control bytes, ${area}.`, "sentBytes", "receivedBytes"),
    create(
      "messages",
      `Control messages, ${area}.`,
      "sentMessages",
      "receivedMessages",
    ),
  ];
}

function listTableMetrics(snapshot: MetersSnapshot): readonly Metric[] {
  const { readCalls, readRows, writeCalls, writeRows } = snapshot.table;
  const create = (unit: string, reads: number, writes: number): Metric => ({
    name: `table_${unit}_total`,
    type: "counter",
    help: `Table ${unit}.`,
    samples: [
      { labels: { operation: "read" }, value: reads },
      { labels: { operation: "write" }, value: writes },
    ],
  });
  return [
    create("calls", readCalls, writeCalls),
    create("rows", readRows, writeRows),
  ];
}

function createLatencyMetric(snapshot: MetersSnapshot): Metric {
  return {
    name: "latency_ms",
    type: "summary",
    help: "Latency by area in milliseconds.",
    samples: snapshot.latencies.flatMap(listLatencySamples),
  };
}

function listLatencySamples(latency: LatencySummary): readonly Sample[] {
  const { area } = latency;
  return [
    { labels: { area, quantile: "0.5" }, value: latency.p50Ms },
    { labels: { area, quantile: "0.99" }, value: latency.p99Ms },
    { labels: { area, quantile: "1" }, value: latency.maximumMs },
    { labels: { area }, value: latency.count, suffix: "_count" },
  ];
}

function formatMetric(metric: Metric): string {
  const name = `${PREFIX}_${metric.name}`;
  const lines = metric.samples.map((sample) =>
    `${name}${sample.suffix ?? ""}${
      formatLabels(sample.labels)
    } ${sample.value}`
  );
  return [
    `# HELP ${name} ${metric.help}`,
    `# TYPE ${name} ${metric.type}`,
    ...lines,
    "",
  ].join("\n");
}

function formatLabels(labels: Readonly<Record<string, string>>): string {
  const parts = Object.entries(labels).map(([key, value]) =>
    `${key}="${escapeLabel(value)}"`
  );
  return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}

function escapeLabel(value: string): string {
  return value.replaceAll("\\", "\\\\").replaceAll('"', '\\"').replaceAll(
    "\n",
    "\\n",
  );
}
