/** The measured costs by name, with framing added to every message. */
import type { DeploymentSize } from "./design.ts";
import { ASSUMED } from "./target.ts";
import type { CapacityReport, IdleRun, Slope } from "./types.ts";

/** WebSocket header with mask. */
const FRAME_HEADER_BYTES = 6;
/** As the HTTP client's meter counts them, for one message. */
const HTTP_HEADER_BYTES = 180;
const VM_READINGS = 100;
const PLACED_JOBS = 1;

/** Looks up the figures of one report. */
export class Costs {
  readonly report: CapacityReport;
  readonly unexplainedProcessorShare: number;

  private constructor(report: CapacityReport, unexplained: number) {
    this.report = report;
    this.unexplainedProcessorShare = unexplained;
  }

  /** `unexplainedProcessorShare`: what an idle run spent beyond the derived lines. */
  static create(
    report: CapacityReport,
    unexplainedProcessorShare: number,
  ): Costs {
    return new Costs(report, unexplainedProcessorShare);
  }

  get lastIdleRun(): IdleRun | undefined {
    return this.report.idleRuns.at(-1);
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

  /** A mesh message on the wire, with the packet that acknowledges it. */
  frame(name: string): number {
    return this.bytes(name) + FRAME_HEADER_BYTES +
      2 * ASSUMED.packetHeaderBytes;
  }

  /** An HTTP request and its answer on the wire, each with its acknowledgement. */
  exchange(requestBytes: number, answerBytes: number): number {
    return requestBytes + answerBytes +
      2 * (HTTP_HEADER_BYTES + 2 * ASSUMED.packetHeaderBytes);
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

  /** One look at the queue, and one job placed. */
  placementMicroseconds(queuedJobs: number): number {
    return PLACED_JOBS * this.slope("placement_time") +
      queuedJobs * this.slope("placement_with_queue_time");
  }

  #getSlope(name: string): Slope {
    const slope = this.report.slopes.find((one) => one.name === name);
    if (slope === undefined) throw new Error(`no slope ${name}`);
    return slope;
  }
}
