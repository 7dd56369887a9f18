/**
 * One entry of the cell, the process on a VM: answers callers, follows the store, competes for the
 * scheduler's lease and runs the scheduler while it holds the lease.
 */
import { type Clock, createUniqueId, type Random } from "@coltsfootpond/common";
import {
  type CallerCodec,
  type CellSettings,
  type RecordDecoder,
  type StateStore,
  STORE_TABLE,
  type WorkerPort,
} from "@coltsfootpond/ports";
import { AdmissionGate } from "./admission/admission_gate.ts";
import { PublishedLoad } from "./admission/published_load.ts";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import {
  keepRunning,
  runInBackground,
  subscribeGuarded,
} from "./background/run_in_background.ts";
import { reportFailure } from "./background/report_failure.ts";
import { limitFailureLines } from "./background/failure_log_limit.ts";
import {
  type ConnectionLimits,
  deriveCallerLimits,
  derivePeerLimits,
} from "../connections/connection_limits.ts";
import { createCallerFilters } from "./callers/caller_filters.ts";
import { CallerServer } from "./callers/caller_server.ts";
import { CellScheduler } from "./cell_scheduler.ts";
import { StoreReadBudget } from "./callers/store_read_budget.ts";
import { DeclaredStateTracker } from "./declared_state_tracker.ts";
import { JobRepository } from "./callers/job_repository.ts";
import { computeFollowDelayMs } from "./lease/entry_count_delays.ts";
import {
  type AcquiredLease,
  type LeaseChange,
  SchedulerLease,
} from "./lease/scheduler_lease.ts";
import type { CellLog } from "./log.ts";
import { QuotaHistory } from "./quotas/quota_history.ts";
import type { CellMeters, GaugeValues } from "./meters/cell_meters.ts";
import { createMeteredStore } from "./meters/metered_store.ts";
import { PeerRowsPoller } from "./peer_rows_poller.ts";
import { PeerRegistry } from "./peer_registry.ts";
import { PeerServer } from "./peer_server.ts";
import { StoreRelay } from "./store_relay.ts";
import { SeenVersion, TableFollower } from "./table_follower.ts";

/**
 * Period of full reads besides the change feed. Nearly half of the required 2 s until a new declared
 * state is in force, as a due read may first wait for a long poll of the same length.
 */
const DECLARED_STATE_READ_PERIOD_MS = 900;
/**
 * After this time without an answer of the store the entry is not ready, so that the balancer sends
 * new connections to others.
 */
const STORE_SILENCE_TIMEOUT_MS = 2_500;
/** The balancer checks once a second and needs two failures; after that no new requests arrive. */
const NOT_READY_DELAY_MS = 2_400;
/** Part of the grace period that remains when requests in progress are dropped. */
const SHUTDOWN_MARGIN_MS = 1_000;
const {
  ANNOUNCE_PEER,
  APPLY_DECLARED_STATE,
  APPLY_LEASE_CHANGE,
  FOLLOW_TABLE,
  START_SCHEDULER,
  STOP_SCHEDULER,
} = BACKGROUND_ACTIVITY;

export interface CellEntryOptions {
  readonly settings: CellSettings;
  readonly store: StateStore;
  readonly workerPort: WorkerPort;
  readonly callerCodec: CallerCodec;
  readonly recordDecoder: RecordDecoder;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly random: Random;
  readonly log: CellLog;
  readonly meters: CellMeters;
}

/** Wires up the parts of one entry, starts them and stops them. */
export class CellEntry {
  readonly #options: CellEntryOptions;
  readonly #stateFollower: TableFollower;
  readonly #operatorsFollower: TableFollower;
  readonly #declared: DeclaredStateTracker;
  readonly #quotaHistory: QuotaHistory;
  readonly #lease: SchedulerLease;
  readonly #callerLimits: ConnectionLimits;
  readonly #server: CallerServer;
  readonly #relay: StoreRelay;
  readonly #peerServer: PeerServer | undefined;
  readonly #peerRowsPoller: PeerRowsPoller;
  readonly #peerRegistry: PeerRegistry;
  #scheduler: CellScheduler | undefined;
  #isLeaving = false;

  private constructor(options: CellEntryOptions) {
    const { clock, random, settings, nowUnixMs, meters } = options;
    const log = meters.countEvents(limitFailureLines(options.log, clock));
    this.#options = { ...options, log };
    const direct = createMeteredStore(options.store, { meters, clock });
    this.#relay = StoreRelay.create({
      direct,
      getPeers: () => this.#peerRegistry.addresses,
      clock,
      random,
      log,
    });
    this.#peerServer = settings.peerAddress && PeerServer.create({
      address: settings.peerAddress,
      store: direct,
      limits: derivePeerLimits(settings),
      clock,
      isStoreDown: () => this.#relay.isDirectDown,
      listOperatorRows: (afterVersion) =>
        [...this.#operatorsFollower.rows()].filter(({ version }) =>
          version > afterVersion
        ),
      log,
    });
    const store = this.#relay;
    const common = { store, clock, random, log, seen: SeenVersion.create() };
    this.#stateFollower = TableFollower.create({
      ...common,
      table: STORE_TABLE.STATE,
      // The lease holder renews the scheduler's lease in this table.
      expectsChanges: true,
      getDelayMs: () =>
        this.#scheduler === undefined
          ? computeFollowDelayMs(this.#peerRegistry.addresses.length)
          : 0,
    });
    this.#peerRegistry = PeerRegistry.create({
      settings,
      follower: this.#stateFollower,
      store,
      clock,
      log,
    });
    this.#operatorsFollower = TableFollower.create({
      ...common,
      table: STORE_TABLE.OPERATORS,
      readPeriodMs: DECLARED_STATE_READ_PERIOD_MS,
    });
    this.#peerRowsPoller = PeerRowsPoller.create({
      relay: this.#relay,
      follower: this.#operatorsFollower,
      clock,
      log,
    });
    this.#declared = DeclaredStateTracker.create({
      follower: this.#operatorsFollower,
      recordDecoder: options.recordDecoder,
      log,
    });
    this.#quotaHistory = QuotaHistory.create(clock);
    this.#lease = SchedulerLease.create({
      entry: settings.entry,
      incarnation: createUniqueId(),
      processorShare: settings.processorShare,
      getProcessorShares: () => this.#peerRegistry.processorShares,
      store,
      follower: this.#stateFollower,
      clock,
      nowUnixMs,
      random,
      log,
    });
    const jobRepository = JobRepository.create({
      store,
      follower: this.#stateFollower,
      clock,
      getStoreDownMs: () => this.#relay.downForMs,
      nowUnixMs,
      readBudget: StoreReadBudget.create({
        clock,
        readsPerSecond: settings.storeReadsPerSecond,
        countEntries: () => 1 + this.#peerRegistry.addresses.length,
      }),
    });
    const getStoreDownMs = () => this.#relay.downForMs;
    const follower = this.#stateFollower;
    const load = PublishedLoad.create({ follower, clock, log, getStoreDownMs });
    const { entry, failureDomain } = settings;
    const admission = AdmissionGate.create({
      entry,
      failureDomain,
      load,
      jobRepository,
      log,
    });
    this.#callerLimits = deriveCallerLimits(settings);
    this.#server = CallerServer.create({
      address: settings.callerAddress,
      readiness: settings.readiness,
      limits: this.#callerLimits,
      codec: options.callerCodec,
      filters: createCallerFilters({
        codec: options.callerCodec,
        jobRepository,
        admission,
        getDeclaredState: () => this.#declared.current,
        findTooWide: (spec) => this.#quotaHistory.findTooWide(spec),
        nowUnixMs,
        rowLimitBytes: settings.rowLimitBytes,
      }),
      clock,
      log,
      isReady: () => this.#isReady(),
      meters,
    });
    meters.setGaugeSource(() => this.#readGauges());
  }

  static create(options: CellEntryOptions): CellEntry {
    return new CellEntry(options);
  }

  /** The log of this entry: its events are counted, and repeated failures are limited. */
  get log(): CellLog {
    return this.#options.log;
  }

  /**
   * Opens the servers, follows the store and competes for the lease. Rejects when an address cannot
   * be bound.
   */
  async start(): Promise<void> {
    const { clock, log } = this.#options;
    subscribeGuarded(
      this.#lease.changes,
      log,
      APPLY_LEASE_CHANGE,
      (change) => this.#applyLeaseChange(change),
    );
    subscribeGuarded(this.#declared.changes, log, APPLY_DECLARED_STATE, () => {
      this.#quotaHistory.record(this.#declared.current);
      const limits = this.#declared.current?.limits;
      if (limits === undefined) return;
      this.#server.setTimeouts(limits.headerTimeoutMs, limits.keepAliveMs);
    });
    await Promise.all([this.#server.listen(), this.#peerServer?.listen()]);
    runInBackground(log, FOLLOW_TABLE, () => this.#stateFollower.run());
    runInBackground(log, FOLLOW_TABLE, () => this.#operatorsFollower.run());
    const isStopped = () => this.#isLeaving;
    const announcing = { clock, log, activity: ANNOUNCE_PEER, isStopped };
    runInBackground(
      log,
      ANNOUNCE_PEER,
      () => keepRunning(announcing, () => this.#peerRegistry.announce()),
    );
    this.#lease.start();
    log.info("entry.started", {
      entry: this.#options.settings.entry,
    });
  }

  /**
   * Reports an error that reached the process, as no activity caught it. The scheduler goes on: all
   * of its activities have owners, so the error is one of a connection or of a library.
   */
  reportUnownedError(error: unknown, origin: string): void {
    const { log } = this.#options;
    reportFailure(log, BACKGROUND_ACTIVITY.UNOWNED, error, { origin });
  }

  /** Turns not ready, releases the lease, finishes requests in progress and closes everything. */
  async stop(): Promise<void> {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    const { clock, log, settings } = this.#options;
    log.info("entry.leaving");
    this.#peerRegistry.stop();
    this.#server.announceClose();
    await this.#lease.leave();
    await clock.sleep(NOT_READY_DELAY_MS);
    const remainingMs = settings.bounds.shutdownGraceMs - NOT_READY_DELAY_MS -
      SHUTDOWN_MARGIN_MS;
    await this.#server.close(Math.max(0, remainingMs));
    this.#stateFollower.stop();
    this.#operatorsFollower.stop();
    this.#peerRowsPoller.stop();
    this.#peerServer?.close();
    this.#relay.close();
    log.info("entry.stopped");
  }

  #isReady(): boolean {
    const lastAnswerMs = Math.max(
      this.#stateFollower.lastAnswerMs,
      this.#operatorsFollower.lastAnswerMs,
    );
    return !this.#isLeaving && this.#declared.current !== undefined &&
      this.#stateFollower.isLoaded &&
      this.#options.clock.nowMs() - lastAnswerMs < STORE_SILENCE_TIMEOUT_MS;
  }

  #readGauges(): GaugeValues {
    const nowMs = this.#options.clock.nowMs();
    const counts = this.#scheduler?.countWork();
    return {
      callerConnections: this.#server.usage,
      callerLimits: this.#callerLimits,
      isLeaseHolder: this.#lease.epoch !== undefined,
      epoch: this.#lease.epoch ?? 0,
      declaredVersion: this.#declared.current?.version ?? 0,
      stateAgeMs: nowMs - this.#stateFollower.lastAnswerMs,
      operatorsAgeMs: nowMs - this.#operatorsFollower.lastAnswerMs,
      storeDownMs: this.#relay.downForMs,
      unreadableRows: this.#stateFollower.unreadable.count,
      waitingJobs: counts?.waitingJobs ?? 0,
      begunJobs: counts?.begunJobs ?? 0,
      workers: counts?.workers ?? 0,
      ignoredRecords: counts?.ignoredRecords ?? 0,
      reachableWorkers: counts?.reachableWorkers ?? 0,
      urgentHeadroom: counts?.urgentHeadroom ?? 0,
      organisations: counts?.organisations ?? [],
      openQueueCircuits: counts?.openQueueCircuits ?? 0,
      openStepCircuits: counts?.openStepCircuits ?? 0,
      rejectedStarts: counts?.rejectedStarts ?? 0,
      slowWorkers: counts?.slowWorkers ?? 0,
      fastWorkers: counts?.fastWorkers ?? 0,
      measuredWorkers: counts?.measuredWorkers ?? 0,
    };
  }

  #applyLeaseChange(change: LeaseChange): void {
    const { log } = this.#options;
    const earlier = this.#scheduler;
    this.#scheduler = undefined;
    runInBackground(log, STOP_SCHEDULER, () => earlier?.stop());
    if (change.kind === "lost") return;
    runInBackground(log, START_SCHEDULER, () => this.#startScheduler(change));
  }

  async #startScheduler(change: AcquiredLease): Promise<void> {
    try {
      this.#scheduler = this.#createScheduler(change);
      await this.#scheduler.start();
    } catch (error) {
      this.#lease.giveUp(change.epoch, "start");
      throw error;
    }
  }

  #createScheduler({ epoch, version }: AcquiredLease): CellScheduler {
    const { settings, workerPort, clock, nowUnixMs, log } = this.#options;
    return CellScheduler.create({
      epoch,
      acquiredVersion: version,
      settings,
      store: this.#relay,
      workerPort,
      recordDecoder: this.#options.recordDecoder,
      follower: this.#stateFollower,
      declared: this.#declared,
      clock,
      nowUnixMs,
      log,
      canAct: () => this.#lease.canAct(),
      onNewerHolder: (reason) => this.#lease.stepDown(reason),
      onRoundFailed: () => this.#lease.giveUp(epoch, "round"),
    });
  }
}
