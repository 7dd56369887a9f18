/** The measured costs by name, with framing added to every message. */
import { type DeploymentSize, TARGET_SIZE } from "./design.ts";
import { ASSUMED } from "./target.ts";
import type { CapacityReport, Slope } from "./types.ts";

/** Bytes around each message. */
export interface Framing {
  readonly frameBytes: number;
  /** Around a request and its answer together. */
  readonly exchangeBytes: number;
}

/** WebSocket header with mask, and the packets of the frame and its acknowledgement. */
const WEBSOCKET_HEADER_BYTES = 6;
/** As the HTTP client's meter counts them, for one message. */
const HTTP_HEADER_BYTES = 180;
/** As a mesh link's meter counts them. */
const METERED_FRAME_BYTES = 46;

/** What travels on the wire, each message in a packet of its own and acknowledged by another. */
export const NETWORK_FRAMING: Framing = {
  frameBytes: WEBSOCKET_HEADER_BYTES + 2 * ASSUMED.packetHeaderBytes,
  exchangeBytes: 2 * (HTTP_HEADER_BYTES + 2 * ASSUMED.packetHeaderBytes),
};

/** What the daemons' meters count. */
export const METER_FRAMING: Framing = {
  frameBytes: METERED_FRAME_BYTES,
  exchangeBytes: 2 * HTTP_HEADER_BYTES,
};

/** Files in the measured list. */
const LISTED_FILES = TARGET_SIZE.files;
const VM_READINGS = 100;

export interface CostsOptions {
  readonly report: CapacityReport;
  readonly framing: Framing;
  /** What idle runs spent beyond the derived lines. */
  readonly unexplainedProcessorShare: number;
}

/** Looks up the figures of one report. */
export class MeasuredCosts {
  readonly report: CapacityReport;
  readonly unexplainedProcessorShare: number;
  readonly #framing: Framing;

  private constructor(options: CostsOptions) {
    this.report = options.report;
    this.unexplainedProcessorShare = options.unexplainedProcessorShare;
    this.#framing = options.framing;
  }

  static create(options: CostsOptions): MeasuredCosts {
    return new MeasuredCosts(options);
  }

  /** The largest resident memory that an idle daemon had; 0 before the first run. */
  get idleResidentBytes(): number {
    const entries = this.report.idleRuns.flatMap((run) => run.perEntry);
    return Math.max(0, ...entries.map((entry) => entry.residentBytes));
  }

  get configurationParseMicroseconds(): number {
    return this.#getSlope("configuration_parse_time").values.at(-1) ?? 0;
  }

  slope(name: string): number {
    return this.#getSlope(name).slope;
  }

  bytes(name: string): number {
    const message = this.report.messages.find((one) => one.name === name);
    if (message === undefined) throw new Error(`no message size ${name}`);
    return message.bytes;
  }

  /** A mesh message with its framing. */
  frame(name: string): number {
    return this.frameOf(this.bytes(name));
  }

  frameOf(bytes: number): number {
    return bytes + this.#framing.frameBytes;
  }

  /** An HTTP request and its answer with their framing. */
  exchange(requestBytes: number, answerBytes: number): number {
    return requestBytes + answerBytes + this.#framing.exchangeBytes;
  }

  /** The list of the set's declaration files. */
  listBytes(files: number): number {
    return Math.ceil(this.bytes("configuration_list") * files / LISTED_FILES);
  }

  /** All declaration files of the set. */
  setBytes(size: DeploymentSize): number {
    return size.organisations * this.bytes("organisation_file") +
      size.failureDomains * this.bytes("failure_domain_file");
  }

  vmListMicroseconds(vms: number): number {
    const { slope, intercept } = this.#getSlope("vm_list_time");
    return (Math.max(0, intercept) + vms * slope) / VM_READINGS;
  }

  /** One job placed while others wait. */
  placementMicroseconds(queuedJobs: number): number {
    const perQueuedJob = Math.max(0, this.slope("placement_with_queue_time"));
    return this.slope("placement_time") + queuedJobs * perQueuedJob;
  }

  #getSlope(name: string): Slope {
    const slope = this.report.slopes.find((one) => one.name === name);
    if (slope === undefined) throw new Error(`no slope ${name}`);
    return slope;
  }
}
