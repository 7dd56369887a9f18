/**
 * Looks up the measured slopes and message sizes of a capacity report by name and adds framing to each
 * message. Used to compute the resource usage of an entry.
 */
import { type DeploymentSize, TARGET_SIZE } from "./design.ts";
import { ASSUMED } from "./target.ts";
import type { CapacityReport, Slope } from "./types.ts";

/** Bytes that transport adds to each message. */
export interface Framing {
  readonly frameBytes: number;
  /** Added to an HTTP request and its answer together. */
  readonly exchangeBytes: number;
}

/** WebSocket frame header with its mask. */
const WEBSOCKET_HEADER_BYTES = 6;
/** Headers of one HTTP message, as the meter of the HTTP client estimates them. */
const HTTP_HEADER_BYTES = 180;
/** Overhead of one mesh frame, as the meter of a mesh link counts it. */
const METERED_FRAME_BYTES = 46;

/** Bytes on the network: each message takes one TCP packet, and its acknowledgement another. */
export const NETWORK_FRAMING: Framing = {
  frameBytes: WEBSOCKET_HEADER_BYTES + 2 * ASSUMED.packetHeaderBytes,
  exchangeBytes: 2 * (HTTP_HEADER_BYTES + 2 * ASSUMED.packetHeaderBytes),
};

/** Bytes as the daemons' own meters count them; for the comparison with idle runs. */
export const METER_FRAMING: Framing = {
  frameBytes: METERED_FRAME_BYTES,
  exchangeBytes: 2 * HTTP_HEADER_BYTES,
};

/** Number of files in the measured configuration list. */
const LISTED_FILES = TARGET_SIZE.files;
/** The slope `vm_list_time` measures this many reads of the list. */
const VM_LIST_READS = 100;

export interface MeasuredCostsOptions {
  readonly report: CapacityReport;
  readonly framing: Framing;
  /** Processor share of idle runs beyond the sum of the computed usage lines. */
  readonly unexplainedProcessorShare: number;
}

/** Figures of one report. Lookups throw when the report has no figure of the given name. */
export class MeasuredCosts {
  readonly report: CapacityReport;
  readonly unexplainedProcessorShare: number;
  readonly #framing: Framing;

  private constructor(options: MeasuredCostsOptions) {
    this.report = options.report;
    this.unexplainedProcessorShare = options.unexplainedProcessorShare;
    this.#framing = options.framing;
  }

  static create(options: MeasuredCostsOptions): MeasuredCosts {
    return new MeasuredCosts(options);
  }

  /** Largest resident memory of a daemon in the idle runs; 0 when there is no idle run. */
  get idleResidentBytes(): number {
    const entries = this.report.idleRuns.flatMap((run) => run.perEntry);
    return Math.max(0, ...entries.map((entry) => entry.residentBytes));
  }

  /** Time to parse the declarations of as many organisations as the largest measured size. */
  get configurationParseMicroseconds(): number {
    return this.#findSlope("configuration_parse_time").values.at(-1) ?? 0;
  }

  /** Bytes or microseconds per additional item, by the unit of the slope. */
  getSlope(name: string): number {
    return this.#findSlope(name).slope;
  }

  /** Encoded size of a message without framing. */
  bytes(name: string): number {
    const message = this.report.messages.find((candidate) =>
      candidate.name === name
    );
    if (message === undefined) {
      throw new Error(`the capacity report has no message size ${name}`);
    }
    return message.bytes;
  }

  /** Size of a mesh message with its framing. */
  getFramedMessageBytes(name: string): number {
    return this.addFrameBytes(this.bytes(name));
  }

  /** Adds the framing of one mesh message to its encoded size. */
  addFrameBytes(bytes: number): number {
    return bytes + this.#framing.frameBytes;
  }

  /** Size of an HTTP request and its answer, given their bodies, with framing. */
  getExchangeBytes(requestBytes: number, answerBytes: number): number {
    return requestBytes + answerBytes + this.#framing.exchangeBytes;
  }

  /** Size of the list that names this many declaration files with their digests. */
  getConfigurationListBytes(files: number): number {
    return Math.ceil(this.bytes("configuration_list") * files / LISTED_FILES);
  }

  /** Size of all declaration files of a configuration. */
  getDeclarationBytes(size: DeploymentSize): number {
    return size.organisations * this.bytes("organisation_file") +
      size.failureDomains * this.bytes("failure_domain_file");
  }

  /** Time of one read of a list of this many VMs. */
  getVmListMicroseconds(vms: number): number {
    const { slope, intercept } = this.#findSlope("vm_list_time");
    return (Math.max(0, intercept) + vms * slope) / VM_LIST_READS;
  }

  /** Time to place one job while this many other jobs are queued. */
  getPlacementMicroseconds(queuedJobs: number): number {
    const perQueuedJob = Math.max(
      0,
      this.getSlope("placement_with_queue_time"),
    );
    return this.getSlope("placement_time") + queuedJobs * perQueuedJob;
  }

  #findSlope(name: string): Slope {
    const slope = this.report.slopes.find((candidate) =>
      candidate.name === name
    );
    if (slope === undefined) {
      throw new Error(`the capacity report has no slope ${name}`);
    }
    return slope;
  }
}
