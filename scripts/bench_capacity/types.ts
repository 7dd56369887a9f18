/** Types of the capacity report, which `bench:capacity` and `bench:idle` store in one JSON file. */

export const SLOPES_PATH = "docs/capacity/slopes.json";

/** Values measured at several sizes, with the line fitted through them. */
export interface Slope {
  readonly name: string;
  /** The item that the sizes count. */
  readonly per: string;
  /** Unit of the values. */
  readonly unit: "bytes" | "microseconds";
  readonly sizes: readonly number[];
  /** Median of the repeats at each size, in `unit`. */
  readonly values: readonly number[];
  /** Growth of the value for each item. */
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals as a share of the largest value. */
  readonly residualShare: number;
}

/** Encoded size of one message, without framing, HTTP headers and TCP/IP headers. */
export interface MessageSize {
  readonly name: string;
  readonly bytes: number;
}

/** The machine on which the slopes were measured. */
export interface Machine {
  readonly processor: string;
  readonly cores: number;
  readonly memoryGib: number;
  readonly nodeVersion: string;
}

/** One run of `bench:idle` with real daemons. */
export interface IdleRun {
  readonly entries: number;
  readonly seconds: number;
  readonly command: string;
  readonly perEntry: readonly IdleEntry[];
}

/** Figures from the meters of one daemon over the run. */
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

/** The whole content of the file. Dates are in ISO 8601. */
export interface CapacityReport {
  readonly date: string;
  readonly command: string;
  readonly elapsedSeconds: number;
  readonly machine: Machine;
  readonly slopes: readonly Slope[];
  readonly messages: readonly MessageSize[];
  /** Date of the message sizes, which `--only-messages` measures without the slopes. */
  readonly messagesDate: string;
  readonly idleRuns: readonly IdleRun[];
}
