/** What the capacity bench writes to `docs/capacity/slopes.json`. */

export const SLOPES_PATH = "docs/capacity/slopes.json";

/** Values measured at several sizes, with the line fitted through them. */
export interface Slope {
  readonly name: string;
  /** What one more of makes the value grow. */
  readonly per: string;
  /** Unit of the values. */
  readonly unit: "bytes" | "microseconds";
  readonly sizes: readonly number[];
  /** Median of the repeats at each size. */
  readonly values: readonly number[];
  readonly slope: number;
  readonly intercept: number;
  readonly residualShare: number;
}

/** Encoded size of one message, with its framing and without TCP/IP headers. */
export interface MessageSize {
  readonly name: string;
  readonly bytes: number;
}

export interface Machine {
  readonly processor: string;
  readonly cores: number;
  readonly memoryGib: number;
  readonly nodeVersion: string;
}

/** One real run of idle daemons. */
export interface IdleRun {
  readonly entries: number;
  readonly seconds: number;
  readonly command: string;
  readonly perEntry: readonly IdleEntry[];
}

/** What one daemon's own meters said over the run. */
export interface IdleEntry {
  readonly entry: string;
  readonly meshBytesPerSecond: number;
  readonly platformBytesPerSecond: readonly {
    readonly service: string;
    readonly bytesPerSecond: number;
    readonly callsPerSecond: number;
  }[];
  readonly processorShare: number;
  readonly residentBytes: number;
}

export interface CapacityReport {
  readonly date: string;
  readonly command: string;
  readonly elapsedSeconds: number;
  readonly machine: Machine;
  readonly slopes: readonly Slope[];
  readonly messages: readonly MessageSize[];
  /** When the sizes of messages were measured: they may be newer than the slopes. */
  readonly messagesDate: string;
  readonly idleRuns: readonly IdleRun[];
}
