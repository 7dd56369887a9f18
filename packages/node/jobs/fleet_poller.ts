/**
 * Polls the fleet for its reports on one failure domain, listing in each request the attempts that
 * the fleet may forget, and renews the task leases on the domain's workers by one command.
 */
import type {
  AttemptId,
  Clock,
  FailureDomainName,
  Timer,
  WorkerName,
} from "@coltsfootpond/common";
import type { FleetPort, FleetReport } from "@coltsfootpond/ports";
import { createLeaseRenewal, type FleetCommander } from "./gang_start.ts";

export const TASK_RENEWAL_PERIOD_MS = 6_000;
const FLEET_TIMEOUT_MS = 2_000;

export interface FleetPollerOptions {
  readonly clock: Clock;
  readonly fleet: FleetPort;
  readonly failureDomain: FailureDomainName;
  readonly commander: FleetCommander;
  readonly onReport: (report: FleetReport) => void;
  readonly listLeasedWorkers: () => readonly WorkerName[];
  /** Delay until the next report is fetched; depends on the attempts that are running. */
  readonly getReportPeriodMs: () => number;
}

/** Owns the last fetched revision and the timers of one failure domain's reports. */
export class FleetPoller {
  readonly #options: FleetPollerOptions;
  #revision = 0;
  #forgettable: readonly AttemptId[] = [];
  #timers: Timer[] = [];
  #nextPoll: Timer | undefined;
  #stopped = false;

  private constructor(options: FleetPollerOptions) {
    this.#options = options;
  }

  static create(options: FleetPollerOptions): FleetPoller {
    return new FleetPoller(options);
  }

  start(): void {
    this.#timers = [
      this.#options.clock.every(
        TASK_RENEWAL_PERIOD_MS,
        () => void this.#renew(),
      ),
    ];
    this.#schedule(this.#options.getReportPeriodMs());
    void this.#renew();
  }

  stop(): void {
    this.#stopped = true;
    for (const timer of this.#timers) timer.cancel();
    this.#nextPoll?.cancel();
  }

  /** Lets the fleet drop the reports of an attempt whose end has been recorded. */
  forget(attemptId: AttemptId): void {
    this.#forgettable = [...this.#forgettable, attemptId];
  }

  /** Fetches the changes since the last report; undefined when the fleet did not answer. */
  async fetch(): Promise<FleetReport | undefined> {
    const { fleet, failureDomain } = this.#options;
    const forget = this.#forgettable;
    const request = { failureDomain, sinceRevision: this.#revision, forget };
    const outcome = await fleet.report(request, {
      timeoutMs: FLEET_TIMEOUT_MS,
    });
    if (outcome.kind === "unavailable") return undefined;
    this.#revision = outcome.report.revision;
    this.#forgettable = this.#forgettable.filter((attemptId) =>
      !forget.includes(attemptId)
    );
    return outcome.report;
  }

  /** Reschedules the next poll by the current report period, which attempts may have shortened. */
  reschedulePoll(): void {
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
      await this.#options.commander.command([createLeaseRenewal(workers)]);
    }
  }
}
