/** One runner with its connections, its attempts from this entry, its health and last report. */
import type { Clock, RunnerName } from "@coltsfootpond/common";
import type { VmRecord } from "@coltsfootpond/ports";
import { exchangeWithRunner } from "./exchange.ts";
import { BORROWING_PAUSE_MS } from "./constants.ts";
import { RunnerHealth } from "./health.ts";
import { RunnerAgent } from "./runner_agent.ts";
import {
  FAILURE_CAUSE,
  type LoadReport,
  type RunnerCandidate,
  type UpstreamOutcome,
  type UpstreamRequest,
} from "./types.ts";

export interface RunnerOptions {
  readonly clock: Clock;
  readonly vm: VmRecord;
  readonly mayEject: () => boolean;
  readonly onEjected: (runner: RunnerName) => void;
  /** Called when an attempt has released its slot. */
  readonly onSlotReleased: () => void;
}

/** Slots of a runner, as declared and as divided among the entries. */
export interface RunnerSlots {
  readonly slots: number;
  /** Slots in this entry's share. */
  readonly share: number;
}

/** Created by `UpstreamPool` for each runner in the list of VMs. */
export class Runner {
  readonly name: RunnerName;
  readonly #options: RunnerOptions;
  readonly #agent: RunnerAgent;
  readonly #health: RunnerHealth;
  #vm: VmRecord;
  #inUse = 0;
  #report: LoadReport | undefined;
  #reportedMs = -Infinity;
  #othersInUse: number | undefined;
  #refusedMs = -Infinity;

  private constructor(options: RunnerOptions) {
    this.#options = options;
    this.#vm = options.vm;
    this.name = options.vm.name as RunnerName;
    this.#agent = RunnerAgent.create(options.clock);
    this.#health = RunnerHealth.create(options);
  }

  static create(options: RunnerOptions): Runner {
    return new Runner(options);
  }

  get vm(): VmRecord {
    return this.#vm;
  }

  get inUse(): number {
    return this.#inUse;
  }

  get connectionCount(): number {
    return this.#agent.countConnections();
  }

  isEjected(): boolean {
    return this.#health.isEjected();
  }

  /** Whether neither the platform's list nor the runner's last report says that it is leaving. */
  acceptsWork(): boolean {
    return this.#vm.state === "live" && this.#report?.leaving !== true;
  }

  isUsable(): boolean {
    return this.acceptsWork() && !this.#health.isEjected();
  }

  /** Applies the runner's record in the platform's list. */
  update(vm: VmRecord): void {
    const moved = vm.host !== this.#vm.host || vm.port !== this.#vm.port;
    this.#vm = vm;
    if (moved) {
      this.#report = undefined;
      this.#othersInUse = undefined;
      this.#agent.invalidateConnections();
    }
    if (vm.state === "leaving") this.#agent.retire();
  }

  /** Stops new attempts; those in progress finish. */
  retire(): void {
    this.#vm = { ...this.#vm, state: "leaving" };
    this.#agent.retire();
  }

  prune(maximumIdleMs: number): void {
    this.#agent.prune(maximumIdleMs);
  }

  /** Closes all connections, also those of attempts in progress. */
  destroy(): void {
    this.#agent.destroy();
  }

  createCandidate(
    { slots, share }: RunnerSlots,
    nowMs: number,
  ): RunnerCandidate {
    const loadShare = this.#health.getLoadShare();
    return {
      runner: this.name,
      inUse: this.#inUse,
      share: Math.ceil(share * loadShare),
      slots: Math.ceil(slots * loadShare),
      othersInUse: this.#othersInUse,
      mayBorrow: nowMs - this.#refusedMs >= BORROWING_PAUSE_MS,
      reportAgeMs: nowMs - this.#reportedMs,
    };
  }

  acquireSlot(): void {
    this.#inUse++;
  }

  releaseSlot(): void {
    this.#inUse--;
    this.#options.onSlotReleased();
  }

  /** Sends the request in the acquired slot, then releases the slot. */
  async run(upstreamRequest: UpstreamRequest): Promise<UpstreamOutcome> {
    const { host, port } = this.#vm;
    const { clock } = this.#options;
    const target = { host, port, agent: this.#agent, clock };
    const outcome = await exchangeWithRunner(target, upstreamRequest);
    this.releaseSlot();
    this.#applyOutcome(outcome);
    return outcome;
  }

  #applyOutcome(outcome: UpstreamOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    if (outcome.report !== undefined) {
      this.#report = outcome.report;
      this.#reportedMs = nowMs;
      const others = outcome.report.slotsInUse - this.#inUse;
      this.#othersInUse = Math.max(0, others);
    }
    if (outcome.kind === "answered") {
      this.#health.recordSuccess();
      return;
    }
    if (outcome.cause === FAILURE_CAUSE.FULL) this.#refusedMs = nowMs;
    if (outcome.cause === FAILURE_CAUSE.SILENT) {
      this.#agent.invalidateConnections();
    }
    if (this.#health.recordFailure(outcome.cause)) {
      this.#options.onEjected(this.name);
    }
  }
}
