/**
 * The traffic with the workers of one failure domain: fetches what changed, renews leases in one
 * batch with one command per worker, and lets the fleet forget what has been recorded.
 */
import type {
  AttemptId,
  Clock,
  FailureDomainName,
  Timer,
  WorkerName,
} from "@coltsfootpond/common";
import type { FleetPort, FleetReport } from "@coltsfootpond/ports";
import { createRenewal, type FleetCommander } from "./gang_start.ts";

export const RENEW_PERIOD_MS = 6_000;
const FLEET_TIMEOUT_MS = 2_000;

export interface FleetTaskOptions {
  readonly clock: Clock;
  readonly fleet: FleetPort;
  readonly failureDomain: FailureDomainName;
  readonly commander: FleetCommander;
  readonly onReport: (report: FleetReport) => void;
  readonly listLeasedWorkers: () => readonly WorkerName[];
  /** How soon the next report should be fetched, by what runs now. */
  readonly getReportPeriodMs: () => number;
}

/** Owns the revision and the timers of one failure domain's reports. */
export class FleetPoller {
  readonly #options: FleetTaskOptions;
  #revision = 0;
  #forget: readonly AttemptId[] = [];
  #timers: Timer[] = [];
  #nextPoll: Timer | undefined;
  #stopped = false;

  private constructor(options: FleetTaskOptions) {
    this.#options = options;
  }

  static create(options: FleetTaskOptions): FleetPoller {
    return new FleetPoller(options);
  }

  start(): void {
    this.#timers = [
      this.#options.clock.every(RENEW_PERIOD_MS, () => void this.#renew()),
    ];
    this.#schedule(this.#options.getReportPeriodMs());
    void this.#renew();
  }

  stop(): void {
    this.#stopped = true;
    for (const timer of this.#timers) timer.cancel();
    this.#nextPoll?.cancel();
  }

  /** The attempt's end has been recorded; its reports are no longer needed. */
  forget(attemptId: AttemptId): void {
    this.#forget = [...this.#forget, attemptId];
  }

  /** What has changed since the last fetch; undefined when the fleet gave no answer. */
  async fetch(): Promise<FleetReport | undefined> {
    const { fleet, failureDomain } = this.#options;
    const forget = this.#forget;
    const request = { failureDomain, sinceRevision: this.#revision, forget };
    const outcome = await fleet.report(request, {
      timeoutMs: FLEET_TIMEOUT_MS,
    });
    if (outcome.kind === "unavailable") return undefined;
    this.#revision = outcome.report.revision;
    this.#forget = this.#forget.filter((attemptId) =>
      !forget.includes(attemptId)
    );
    return outcome.report;
  }

  /** Something has begun that the period drawn before did not know of. */
  pollSoon(): void {
    if (!this.#stopped && this.#nextPoll !== undefined) {
      this.#schedule(this.#options.getReportPeriodMs());
    }
  }

  #schedule(delayMs: number): void {
    this.#nextPoll?.cancel();
    this.#nextPoll = this.#options.clock.after(
      delayMs,
      () => void this.#poll(),
    );
  }

  async #poll(): Promise<void> {
    if (this.#stopped) return;
    this.#nextPoll = undefined;
    const report = await this.fetch();
    if (report !== undefined && !this.#stopped) this.#options.onReport(report);
    if (this.#stopped) return;
    this.#schedule(this.#options.getReportPeriodMs());
  }

  async #renew(): Promise<void> {
    const workers = this.#options.listLeasedWorkers();
    if (workers.length > 0) {
      await this.#options.commander.command([createRenewal(workers)]);
    }
  }
}
