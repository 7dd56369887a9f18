/**
 * All runners, as the platform's lagging list names them. A runner that leaves, fails or stands in a
 * failure domain that is out gets no new work; what it has in progress finishes.
 */
import {
  type CallServiceDeclaration,
  type Clock,
  type EntryName,
  type EventSink,
  type FailureDomainName,
  type Random,
  RESULT,
  type RunnerName,
  type Timer,
} from "@coltsfootpond/common";
import type { VmListPort, VmRecord } from "@coltsfootpond/ports";
import { FAILURE_DOMAIN_STATE } from "../rows.ts";
import type { FailureDomainView } from "../types.ts";
import {
  type BalancingPolicy,
  chooseRunner,
  getSlotLimit,
} from "./balancing/choose_runner.ts";
import {
  MAXIMUM_EJECTED_SHARE,
  MAXIMUM_IDLE_MS,
  SLOT_CHECK_PERIOD_MS,
  VM_POLL_PERIOD_MS,
  VM_POLL_TIMEOUT_MS,
} from "./constants.ts";
import { Runner } from "./runner.ts";
import { computeShare } from "./shares.ts";
import type { RunnerCandidate } from "./types.ts";

export interface UpstreamPoolOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly vms: VmListPort;
  readonly failureDomains: FailureDomainView;
  readonly self: EntryName;
  /** Entries that share the runners, `self` among them. */
  readonly listEntries: () => readonly EntryName[];
  readonly balancing: BalancingPolicy;
}

/** One runner in the status of the pool. */
export interface RunnerStatus {
  readonly runner: RunnerName;
  readonly service: string | undefined;
  readonly inUse: number;
  readonly connections: number;
  readonly leaving: boolean;
  readonly ejected: boolean;
}

/** What an attempt needs of a runner. */
export interface AcquireRequest {
  readonly service: CallServiceDeclaration;
  readonly avoid: ReadonlySet<RunnerName>;
  readonly deadlineMs: number;
  readonly signal: AbortSignal | undefined;
}

export class UpstreamPool {
  readonly #options: UpstreamPoolOptions;
  readonly #runners = new Map<string, Runner>();
  readonly #shares = new Map<string, number>();
  readonly #wakes = new Set<() => void>();
  #sharedAmong = "";
  #listed: readonly VmRecord[] = [];
  /** Of the list last taken in; empty when there is none. */
  #listRevision = "";
  #timer: Timer | undefined;
  #polling: Promise<void> | undefined;

  private constructor(options: UpstreamPoolOptions) {
    this.#options = options;
  }

  static create(options: UpstreamPoolOptions): UpstreamPool {
    return new UpstreamPool(options);
  }

  /** Resolves after the first reading of the list. */
  async start(): Promise<void> {
    this.#timer = this.#options.clock.every(
      VM_POLL_PERIOD_MS,
      () => void this.refresh(),
    );
    await this.refresh();
  }

  /** For use after the last request has ended. */
  stop(): void {
    this.#timer?.cancel();
    for (const runner of this.#runners.values()) runner.destroy();
  }

  /** Reads the list; a reading in progress is joined. */
  refresh(): Promise<void> {
    this.#polling ??= this.#poll().finally(() => (this.#polling = undefined));
    return this.#polling;
  }

  /**
   * A runner with a slot taken on it, to be given back by `run` or `giveBack`; one of `avoid` only
   * when there is no other. Waits for room while any runner is usable; undefined when none is, or
   * none has room until `deadlineMs`.
   */
  async acquire(request: AcquireRequest): Promise<Runner | undefined> {
    const { service, avoid, deadlineMs, signal } = request;
    for (;;) {
      const runner = this.#choose(service, avoid);
      if (runner !== undefined) {
        runner.acquireSlot();
        return runner;
      }
      const hopeless = this.#listCandidates(service).length === 0 ||
        signal?.aborted === true ||
        this.#options.clock.nowMs() >= deadlineMs;
      if (hopeless) return undefined;
      await this.#whenFreed();
    }
  }

  /** Resolves when an attempt has ended, or after a short time in which limits may have moved. */
  #whenFreed(): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.#wakes.delete(wake);
        resolve();
      };
      const timer = this.#options.clock.after(SLOT_CHECK_PERIOD_MS, wake);
      this.#wakes.add(wake);
    });
  }

  #choose(
    service: CallServiceDeclaration,
    avoid: ReadonlySet<RunnerName>,
  ): Runner | undefined {
    const candidates = this.#listCandidates(service);
    const others = candidates.filter(({ runner }) => !avoid.has(runner));
    const { balancing, random } = this.#options;
    const chosen = chooseRunner(balancing, others, random) ??
      chooseRunner(balancing, candidates, random);
    return chosen === undefined ? undefined : this.#runners.get(chosen.runner);
  }

  /** Attempts that this entry may have in progress for the service. */
  getCapacity(service: CallServiceDeclaration): number {
    const { balancing } = this.#options;
    return this.#listCandidates(service).reduce(
      (sum, candidate) => sum + getSlotLimit(balancing, candidate),
      0,
    );
  }

  list(): readonly RunnerStatus[] {
    return [...this.#runners.values()].map((runner) => ({
      runner: runner.name,
      service: runner.vm.service,
      inUse: runner.inUse,
      connections: runner.connectionCount,
      leaving: !runner.acceptsWork(),
      ejected: runner.isEjected(),
    }));
  }

  #listCandidates(service: CallServiceDeclaration): RunnerCandidate[] {
    this.#refreshShares();
    const nowMs = this.#options.clock.nowMs();
    const candidates: RunnerCandidate[] = [];
    for (const runner of this.#runners.values()) {
      const usable = runner.vm.service === service.name && runner.isUsable() &&
        this.#isDomainIn(runner.vm);
      if (usable) {
        const slots = runner.vm.slots ?? service.slotsPerRunner;
        const share = this.#getShare(runner.name, slots);
        candidates.push(runner.createCandidate({ slots, share }, nowMs));
      }
    }
    return candidates;
  }

  #isDomainIn(vm: VmRecord): boolean {
    if (vm.failureDomain === undefined) return true;
    const failureDomain = vm.failureDomain as FailureDomainName;
    return this.#options.failureDomains.get(failureDomain).state ===
      FAILURE_DOMAIN_STATE.IN;
  }

  /** Shares are kept until the list of entries changes. */
  #refreshShares(): void {
    const sharedAmong = [...this.#options.listEntries()].sort().join("\0");
    if (sharedAmong === this.#sharedAmong) return;
    this.#sharedAmong = sharedAmong;
    this.#shares.clear();
  }

  #getShare(runner: RunnerName, slots: number): number {
    const key = `${runner}\0${slots}`;
    let share = this.#shares.get(key);
    if (share === undefined) {
      const { self, listEntries } = this.#options;
      share = computeShare({ runner, slots, self, entries: listEntries() });
      this.#shares.set(key, share);
    }
    return share;
  }

  async #poll(): Promise<void> {
    const outcome = await this.#options.vms.list({
      timeoutMs: VM_POLL_TIMEOUT_MS,
      knownRevision: this.#listRevision,
    });
    if (outcome.kind === "unavailable") return;
    if (outcome.kind === "list") {
      this.#listed = outcome.vms.filter(({ role }) => role === "runner");
      this.#listRevision = outcome.revision ?? "";
    }
    for (const vm of this.#listed) this.#take(vm);
    this.#retireUnlisted(new Set(this.#listed.map(({ name }) => name)));
    for (const runner of this.#runners.values()) runner.prune(MAXIMUM_IDLE_MS);
  }

  #take(vm: VmRecord): void {
    const known = this.#runners.get(vm.name);
    if (known !== undefined) {
      known.update(vm);
      return;
    }
    const { clock } = this.#options;
    const runner: Runner = Runner.create({
      clock,
      vm,
      mayEject: () => this.#mayEject(vm.service),
      onEjected: (name) => this.#noteEjected(name),
      onSlotReleased: () => this.#wakes.forEach((wake) => wake()),
    });
    this.#runners.set(vm.name, runner);
  }

  #retireUnlisted(listed: ReadonlySet<string>): void {
    for (const [name, runner] of this.#runners) {
      if (listed.has(name)) continue;
      runner.retire();
      if (runner.inUse === 0) {
        runner.destroy();
        this.#runners.delete(name);
      }
    }
  }

  /** Keeps a floor of runners in use however many seem to fail. */
  #mayEject(service: string | undefined): boolean {
    const peers = [...this.#runners.values()].filter((runner) =>
      runner.vm.service === service && runner.acceptsWork()
    );
    const ejected = peers.filter((runner) => runner.isEjected()).length;
    return ejected + 1 <= peers.length * MAXIMUM_EJECTED_SHARE;
  }

  #noteEjected(runner: RunnerName): void {
    this.#options.events.emit("upstream.ejected", {
      runner,
      code: RESULT.UPSTREAM_FAILED.code,
    });
  }
}
