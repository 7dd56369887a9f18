/**
 * The runners in the platform's list of VMs, which is polled and may be out of date. A runner that
 * leaves, fails or is in a failure domain out of service gets no new attempts; those in progress
 * finish.
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
  /** Entries that share the runners, including `self`. */
  readonly listEntries: () => readonly EntryName[];
  readonly balancing: BalancingPolicy;
}

/** State of one runner, read by tests and benches. */
export interface RunnerStatus {
  readonly runner: RunnerName;
  readonly service: string | undefined;
  readonly inUse: number;
  readonly connections: number;
  readonly leaving: boolean;
  readonly ejected: boolean;
}

/** What an attempt requires of its runner. */
export interface AcquireRequest {
  readonly service: CallServiceDeclaration;
  readonly avoid: ReadonlySet<RunnerName>;
  readonly deadlineMs: number;
  readonly signal: AbortSignal | undefined;
}

/** One per entry; the attempt handler acquires runners from it. */
export class UpstreamPool {
  readonly #options: UpstreamPoolOptions;
  readonly #runners = new Map<string, Runner>();
  readonly #shares = new Map<string, number>();
  readonly #waiters = new Set<() => void>();
  #shareCacheKey = "";
  #listedVms: readonly VmRecord[] = [];
  /** Revision of the list last applied; empty before the first. */
  #listRevision = "";
  #timer: Timer | undefined;
  #polling: Promise<void> | undefined;

  private constructor(options: UpstreamPoolOptions) {
    this.#options = options;
  }

  static create(options: UpstreamPoolOptions): UpstreamPool {
    return new UpstreamPool(options);
  }

  /** Resolves after the first read of the list. */
  async start(): Promise<void> {
    this.#timer = this.#options.clock.every(
      VM_POLL_PERIOD_MS,
      () => void this.refresh(),
    );
    await this.refresh();
  }

  /** Closes all connections; call after the last request has ended. */
  stop(): void {
    this.#timer?.cancel();
    for (const runner of this.#runners.values()) runner.destroy();
  }

  /** Reads the list, or waits for the read in progress. */
  refresh(): Promise<void> {
    this.#polling ??= this.#poll().finally(() => (this.#polling = undefined));
    return this.#polling;
  }

  /**
   * Acquires a slot of a runner; `Runner.run` or `Runner.releaseSlot` releases it. Chooses one of
   * `avoid` only when there is no other. Waits for a slot while any runner is usable; resolves with
   * undefined when none is, when none has a free slot before `deadlineMs`, or when `signal` aborts.
   */
  async acquire(request: AcquireRequest): Promise<Runner | undefined> {
    const { service, avoid, deadlineMs, signal } = request;
    for (;;) {
      const runner = this.#choose(service, avoid);
      if (runner !== undefined) {
        runner.acquireSlot();
        return runner;
      }
      const cannotAcquire = this.#listCandidates(service).length === 0 ||
        signal?.aborted === true ||
        this.#options.clock.nowMs() >= deadlineMs;
      if (cannotAcquire) return undefined;
      await this.#waitForSlot();
    }
  }

  /** Resolves when a slot is released, or after a short time because slot limits change too. */
  #waitForSlot(): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = this.#options.clock.after(SLOT_CHECK_PERIOD_MS, wake);
      this.#waiters.add(wake);
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

  /** Returns how many attempts of the service this entry may have in progress. */
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
    this.#clearStaleShares();
    const nowMs = this.#options.clock.nowMs();
    const candidates: RunnerCandidate[] = [];
    for (const runner of this.#runners.values()) {
      const usable = runner.vm.service === service.name && runner.isUsable() &&
        this.#isDomainInService(runner.vm);
      if (usable) {
        const slots = runner.vm.slots ?? service.slotsPerRunner;
        const share = this.#getShare(runner.name, slots);
        candidates.push(runner.createCandidate({ slots, share }, nowMs));
      }
    }
    return candidates;
  }

  #isDomainInService(vm: VmRecord): boolean {
    if (vm.failureDomain === undefined) return true;
    const failureDomain = vm.failureDomain as FailureDomainName;
    return this.#options.failureDomains.get(failureDomain).state ===
      FAILURE_DOMAIN_STATE.IN;
  }

  /** Shares are cached until the list of entries changes. */
  #clearStaleShares(): void {
    const shareCacheKey = [...this.#options.listEntries()].sort().join("\0");
    if (shareCacheKey === this.#shareCacheKey) return;
    this.#shareCacheKey = shareCacheKey;
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
      this.#listedVms = outcome.vms.filter(({ role }) => role === "runner");
      this.#listRevision = outcome.revision ?? "";
    }
    for (const vm of this.#listedVms) this.#applyVm(vm);
    this.#retireUnlisted(new Set(this.#listedVms.map(({ name }) => name)));
    for (const runner of this.#runners.values()) runner.prune(MAXIMUM_IDLE_MS);
  }

  #applyVm(vm: VmRecord): void {
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
      onEjected: (name) => this.#emitEjected(name),
      onSlotReleased: () => this.#waiters.forEach((wake) => wake()),
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

  /** Keeps a minimum of the service's runners in use, however many fail. */
  #mayEject(service: string | undefined): boolean {
    const sameService = [...this.#runners.values()].filter((runner) =>
      runner.vm.service === service && runner.acceptsWork()
    );
    const ejected = sameService.filter((runner) => runner.isEjected()).length;
    return ejected + 1 <= sameService.length * MAXIMUM_EJECTED_SHARE;
  }

  #emitEjected(runner: RunnerName): void {
    this.#options.events.emit("upstream.ejected", {
      runner,
      code: RESULT.UPSTREAM_FAILED.code,
    });
  }
}
