/**
 * Keeps one domain runner per failure domain that this entry holds, passes notices between fronts
 * and owners, and spreads the owners' summaries.
 */
import {
  brandId,
  type FailureDomainName,
  type JobId,
  type Timer,
} from "@coltsfootpond/common";
import type { TablePort } from "@coltsfootpond/ports";
import type {
  DomainSummary,
  PlacementEngine,
  WaitReason,
} from "@coltsfootpond/policy";
import { type Observable, Subject, type Subscription } from "rxjs";
import type { MeshDelivery } from "../mesh/messages.ts";
import type {
  ConfigurationView,
  Controller,
  DomainSummaries,
  EntryContext,
  FailureDomainView,
  Mesh,
  OwnedDomain,
  OwnershipChange,
  OwnershipView,
} from "../types.ts";
import type { RowWatcher } from "../state/row_watcher.ts";
import { DomainScheduler } from "./domain_scheduler.ts";
import type { JobNotice } from "./job_api.ts";
import { moveJob } from "./job_rows.ts";
import type { MoveCandidate } from "./live_jobs_types.ts";
import { JobNotifier } from "./job_notifier.ts";

const SUMMARY_PERIOD_MS = 2_000;
const AUDIT_PERIOD_MS = 300_000;
/** A summary is sent again after this long even when nothing changed, for entries that missed it. */
const SUMMARY_REFRESH_MS = 30_000;

export interface JobsControllerOptions {
  readonly context: EntryContext;
  readonly table: TablePort;
  readonly mesh: Mesh;
  readonly configuration: ConfigurationView;
  readonly failureDomains: FailureDomainView;
  readonly ownership: OwnershipView;
  readonly rows: RowWatcher;
  readonly createEngine: () => PlacementEngine;
  readonly configureEngine: (
    engine: PlacementEngine,
    failureDomain: FailureDomainName,
  ) => void;
  /** Another failure domain for a waiting job; undefined when there is none. */
  readonly chooseOtherFailureDomain: (
    move: MoveCandidate,
    from: FailureDomainName,
  ) => FailureDomainName | undefined;
}

interface SentSummary {
  readonly text: string;
  readonly atMs: number;
}

/** Reconciles runners with holdings. */
export class JobsController implements Controller, DomainSummaries {
  readonly name = "jobs";
  readonly #options: JobsControllerOptions;
  readonly #runners = new Map<FailureDomainName, DomainScheduler>();
  readonly #summaries = new Map<FailureDomainName, DomainSummary>();
  readonly #sent = new Map<FailureDomainName, SentSummary>();
  readonly #endings = new Subject<JobId>();
  readonly #notices: JobNotifier;
  #timers: Timer[] = [];
  #subscriptions: Subscription[] = [];

  private constructor(options: JobsControllerOptions) {
    this.#options = options;
    const { context, table, mesh, ownership } = options;
    this.#notices = JobNotifier.create({
      clock: context.clock,
      table,
      mesh,
      ownership,
      deliver: (notice) => this.#deliver(notice),
      onQueueChanged: (failureDomain) =>
        this.#runners.get(failureDomain)?.post({ kind: "audit" }),
      listHeld: () => [...this.#runners.keys()],
    });
    options.rows.add(this.#notices);
  }

  static create(options: JobsControllerOptions): JobsController {
    return new JobsController(options);
  }

  /** Ids of jobs that have ended anywhere. */
  get endedJobs(): Observable<JobId> {
    return this.#endings;
  }

  get(failureDomain: FailureDomainName): DomainSummary | undefined {
    return this.#runners.get(failureDomain)?.summarise() ??
      this.#summaries.get(failureDomain);
  }

  /** Which rule holds a waiting job; undefined when its failure domain is owned elsewhere. */
  explain(
    failureDomain: FailureDomainName,
    jobId: JobId,
  ): WaitReason | undefined {
    return this.#runners.get(failureDomain)?.explain(jobId);
  }

  start(): Promise<void> {
    const { context, mesh, configuration, failureDomains, ownership } =
      this.#options;
    this.#subscriptions = [
      ownership.changes.subscribe((change) => this.#applyOwnership(change)),
      mesh.deliveries.subscribe((delivery) => this.#receive(delivery)),
      configuration.changes.subscribe(() =>
        this.#postAll({ kind: "configuration_changed" })
      ),
      failureDomains.changes.subscribe(({ failureDomain }) =>
        this.#applyDomainState(failureDomain)
      ),
    ];
    this.#timers = [
      context.clock.every(SUMMARY_PERIOD_MS, () => this.#sendSummaries()),
      context.clock.every(
        AUDIT_PERIOD_MS,
        () => this.#postAll({ kind: "audit" }),
      ),
    ];
    this.#notices.start();
    for (const holding of ownership.listOwned()) this.#startRunner(holding);
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.#notices.stop();
    for (const timer of this.#timers) timer.cancel();
    for (const subscription of this.#subscriptions) subscription.unsubscribe();
    for (const runner of this.#runners.values()) runner.stop();
    this.#runners.clear();
    return Promise.resolve();
  }

  /** Tells the owner of a failure domain, here or elsewhere, to look at a job's row. */
  notify(notice: JobNotice): void {
    this.#notices.post(notice);
  }

  #deliver({ kind, failureDomain, jobId }: JobNotice): boolean {
    const runner = this.#runners.get(failureDomain);
    runner?.post({
      kind: kind === "submitted" ? "job_noticed" : "job_end_noticed",
      jobId,
    });
    return runner !== undefined;
  }

  /** Guarantees move between failure domains when one goes out or comes back. */
  #applyDomainState(failureDomain: FailureDomainName): void {
    this.#runners.get(failureDomain)?.post({ kind: "domain_changed" });
    this.#postAll({ kind: "configuration_changed" });
  }

  #applyOwnership(change: OwnershipChange): void {
    if (change.kind === "gained") return this.#startRunner(change.owned);
    const runner = this.#runners.get(change.owned.failureDomain);
    if (runner === undefined || runner.holding.epoch !== change.owned.epoch) {
      return;
    }
    runner.stop();
    this.#runners.delete(change.owned.failureDomain);
  }

  #startRunner(holding: OwnedDomain): void {
    const { failureDomain } = holding;
    const {
      context,
      table,
      configuration,
      failureDomains,
      ownership,
      createEngine,
    } = this.#options;
    this.#runners.get(failureDomain)?.stop();
    const runner = DomainScheduler.create({
      context,
      holding,
      table,
      engine: createEngine(),
      configuration,
      failureDomains,
      mayAct: () => ownership.mayAct(holding),
      configureEngine: (engine) =>
        this.#options.configureEngine(engine, failureDomain),
      moveAway: (move) => this.#moveAway(move, failureDomain),
      onEnded: (jobId) => this.#announceEnd(failureDomain, jobId),
    });
    this.#runners.set(failureDomain, runner);
    void runner.start();
  }

  async #moveAway(
    move: MoveCandidate,
    from: FailureDomainName,
  ): Promise<boolean> {
    const { stored } = move;
    const to = this.#options.chooseOtherFailureDomain(move, from);
    if (to === undefined) return false;
    const outcome = await moveJob(this.#options.table, from, to, stored);
    if (outcome.kind !== "done") return false;
    const { requestId, organisation, jobId } = stored.row;
    this.#options.context.events.emit("job.moved", {
      requestId,
      organisation,
      failureDomain: to,
    }, `from ${from}`);
    this.notify({ kind: "submitted", failureDomain: to, jobId });
    return true;
  }

  #announceEnd(failureDomain: FailureDomainName, jobId: JobId): void {
    this.#endings.next(jobId);
    this.#options.mesh.broadcast({ kind: "job_ended", failureDomain, jobId });
  }

  #receive(delivery: MeshDelivery): void {
    const { message } = delivery;
    this.#notices.receive(delivery);
    switch (message.kind) {
      case "job_ended":
        return this.#endings.next(brandId<JobId>(message.jobId));
      case "domain_summary":
        this.#summaries.set(message.failureDomain, message.summary);
        return;
      default:
        return;
    }
  }

  #postAll(message: Parameters<DomainScheduler["post"]>[0]): void {
    for (const runner of this.#runners.values()) runner.post(message);
  }

  /** Only summaries that changed are sent. */
  #sendSummaries(): void {
    const nowMs = this.#options.context.clock.nowMs();
    for (const [failureDomain, runner] of this.#runners) {
      const summary = runner.summarise();
      const text = JSON.stringify(summary);
      const sent = this.#sent.get(failureDomain);
      if (sent?.text === text && nowMs - sent.atMs < SUMMARY_REFRESH_MS) {
        continue;
      }
      this.#sent.set(failureDomain, { text, atMs: nowMs });
      const { epoch } = runner.holding;
      this.#options.mesh.broadcast({
        kind: "domain_summary",
        failureDomain,
        epoch,
        summary,
      });
    }
  }
}
