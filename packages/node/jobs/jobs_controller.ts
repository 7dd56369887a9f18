/**
 * Runs one `DomainScheduler` per failure domain that this entry owns, passes notices from `JobApi`
 * to the owners of the failure domains, and exchanges summaries and the ids of ended jobs with the
 * other entries.
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
/** Each scheduler reads all its job rows again after this time, in case notices were lost. */
const AUDIT_PERIOD_MS = 300_000;
/** An unchanged summary is sent again after this time, for entries that missed it. */
const SUMMARY_REFRESH_PERIOD_MS = 30_000;

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
  /** A better failure domain for a waiting job; undefined when it should stay. */
  readonly chooseOtherFailureDomain: (
    candidate: MoveCandidate,
    from: FailureDomainName,
  ) => FailureDomainName | undefined;
}

interface SentSummary {
  readonly text: string;
  readonly atMs: number;
}

/** Reconciles the domain schedulers with the owned failure domains. */
export class JobsController implements Controller, DomainSummaries {
  readonly name = "jobs";
  readonly #options: JobsControllerOptions;
  readonly #schedulers = new Map<FailureDomainName, DomainScheduler>();
  readonly #receivedSummaries = new Map<FailureDomainName, DomainSummary>();
  readonly #sentSummaries = new Map<FailureDomainName, SentSummary>();
  readonly #endedJobs = new Subject<JobId>();
  readonly #notifier: JobNotifier;
  #timers: Timer[] = [];
  #subscriptions: Subscription[] = [];

  private constructor(options: JobsControllerOptions) {
    this.#options = options;
    const { context, table, mesh, ownership } = options;
    this.#notifier = JobNotifier.create({
      clock: context.clock,
      table,
      mesh,
      ownership,
      deliver: (notice) => this.#deliver(notice),
      onQueueChanged: (failureDomain) =>
        this.#schedulers.get(failureDomain)?.post({ kind: "audit" }),
      listOwned: () => [...this.#schedulers.keys()],
    });
    options.rows.add(this.#notifier);
  }

  static create(options: JobsControllerOptions): JobsController {
    return new JobsController(options);
  }

  /** Ids of jobs that ended on any entry; lacks those whose owner's message was lost. */
  get endedJobs(): Observable<JobId> {
    return this.#endedJobs;
  }

  /** The scheduler's summary if this entry owns the failure domain, else the last one received. */
  get(failureDomain: FailureDomainName): DomainSummary | undefined {
    return this.#schedulers.get(failureDomain)?.summarise() ??
      this.#receivedSummaries.get(failureDomain);
  }

  /** Why a job waits; undefined when another entry owns its failure domain. */
  getWaitReason(
    failureDomain: FailureDomainName,
    jobId: JobId,
  ): WaitReason | undefined {
    return this.#schedulers.get(failureDomain)?.getWaitReason(jobId);
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
    this.#notifier.start();
    for (const owned of ownership.listOwned()) this.#startScheduler(owned);
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.#notifier.stop();
    for (const timer of this.#timers) timer.cancel();
    for (const subscription of this.#subscriptions) subscription.unsubscribe();
    for (const scheduler of this.#schedulers.values()) scheduler.stop();
    this.#schedulers.clear();
    return Promise.resolve();
  }

  /** Makes the owner of a failure domain, on this entry or another, read a job's row. */
  notify(notice: JobNotice): void {
    this.#notifier.post(notice);
  }

  #deliver({ kind, failureDomain, jobId }: JobNotice): boolean {
    const scheduler = this.#schedulers.get(failureDomain);
    scheduler?.post({
      kind: kind === "submitted" ? "job_noticed" : "job_end_noticed",
      jobId,
    });
    return scheduler !== undefined;
  }

  /** Guarantees move between failure domains when one goes out of service or back in. */
  #applyDomainState(failureDomain: FailureDomainName): void {
    this.#schedulers.get(failureDomain)?.post({ kind: "domain_changed" });
    this.#postAll({ kind: "configuration_changed" });
  }

  #applyOwnership(change: OwnershipChange): void {
    if (change.kind === "gained") return this.#startScheduler(change.owned);
    const scheduler = this.#schedulers.get(change.owned.failureDomain);
    if (
      scheduler === undefined || scheduler.owned.epoch !== change.owned.epoch
    ) {
      return;
    }
    scheduler.stop();
    this.#schedulers.delete(change.owned.failureDomain);
  }

  #startScheduler(owned: OwnedDomain): void {
    const { failureDomain } = owned;
    const {
      context,
      table,
      configuration,
      failureDomains,
      ownership,
      createEngine,
    } = this.#options;
    this.#schedulers.get(failureDomain)?.stop();
    const scheduler = DomainScheduler.create({
      context,
      owned,
      table,
      engine: createEngine(),
      configuration,
      failureDomains,
      mayAct: () => ownership.mayAct(owned),
      configureEngine: (engine) =>
        this.#options.configureEngine(engine, failureDomain),
      moveAway: (candidate) => this.#moveAway(candidate, failureDomain),
      onEnded: (jobId) => this.#announceEnd(failureDomain, jobId),
    });
    this.#schedulers.set(failureDomain, scheduler);
    void scheduler.start();
  }

  async #moveAway(
    candidate: MoveCandidate,
    from: FailureDomainName,
  ): Promise<boolean> {
    const { stored } = candidate;
    const to = this.#options.chooseOtherFailureDomain(candidate, from);
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
    this.#endedJobs.next(jobId);
    this.#options.mesh.broadcast({ kind: "job_ended", failureDomain, jobId });
  }

  #receive(delivery: MeshDelivery): void {
    const { message } = delivery;
    this.#notifier.receive(delivery);
    switch (message.kind) {
      case "job_ended":
        return this.#endedJobs.next(brandId<JobId>(message.jobId));
      case "domain_summary":
        this.#receivedSummaries.set(message.failureDomain, message.summary);
        return;
      default:
        return;
    }
  }

  #postAll(message: Parameters<DomainScheduler["post"]>[0]): void {
    for (const scheduler of this.#schedulers.values()) scheduler.post(message);
  }

  /** Sends the summaries that have changed, and all of them every `SUMMARY_REFRESH_PERIOD_MS`. */
  #sendSummaries(): void {
    const nowMs = this.#options.context.clock.nowMs();
    for (const [failureDomain, scheduler] of this.#schedulers) {
      const summary = scheduler.summarise();
      const text = JSON.stringify(summary);
      const sent = this.#sentSummaries.get(failureDomain);
      if (
        sent?.text === text && nowMs - sent.atMs < SUMMARY_REFRESH_PERIOD_MS
      ) {
        continue;
      }
      this.#sentSummaries.set(failureDomain, { text, atMs: nowMs });
      const { epoch } = scheduler.owned;
      this.#options.mesh.broadcast({
        kind: "domain_summary",
        failureDomain,
        epoch,
        summary,
      });
    }
  }
}
