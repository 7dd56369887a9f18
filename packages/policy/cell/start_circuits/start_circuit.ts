/**
 * Circuit breaker for the starts of one step, or of all jobs of one queue. Starts that workers
 * reject, one after the other, open it; then only single trial starts are due, with growing delays,
 * until one is accepted and the circuit closes.
 */
import type { WorkerName } from "@coltsfootpond/common";

/**
 * What a rejection shows. `unauthorized`: the work lacks a permission that the worker asks for.
 * `malformed`: the worker cannot read the command; the work or the worker may be at fault.
 * `unspecific`: the worker may be at fault as well as the work, or neither for long.
 */
export type RejectionKind = "unauthorized" | "malformed" | "unspecific";

interface RejectionRule {
  /** Evidence that the work is at fault; EVIDENCE_TO_OPEN opens a circuit. */
  readonly evidence: number;
  /** Longest delay between two trials. */
  readonly maximumDelayMs: number;
  /** How long the work is started on other workers, if there are any that have not rejected it. */
  readonly avoidMs: number;
}

const EVIDENCE_TO_OPEN = 3;
/**
 * A permission and a malformed command last; what is unspecific may pass within a second. A job that
 * could start must not wait for 3 s (the platform's rules).
 */
const RULES: Readonly<Record<RejectionKind, RejectionRule>> = {
  unauthorized: { evidence: 3, maximumDelayMs: 2_000, avoidMs: 10_000 },
  malformed: { evidence: 3, maximumDelayMs: 2_000, avoidMs: 10_000 },
  unspecific: { evidence: 1, maximumDelayMs: 1_000, avoidMs: 1_000 },
};
/** For each start of the trial; a few round trips to a worker. */
const FIRST_DELAY_MS = 20;
/** Slow enough that several workers are tried before the delays are longest. */
const DELAY_GROWTH = 1.5;
/**
 * Where no trial fits for this many longest delays, the evidence is outdated, and the next trial
 * may evict other work. The time doubles with each such trial that is rejected, up to the maximum.
 */
const EVIDENCE_LIFETIME_DELAYS = 4;
const MAXIMUM_LIFETIME_DOUBLINGS = 5;
/** Distinct sources are counted up to this number. */
const MAXIMUM_SOURCES = 2;

/** A start that a worker has rejected. */
export interface StartRejection {
  readonly kind: RejectionKind;
  readonly reason: string;
  /** The step, as `{job}.{step}`. */
  readonly source: string;
  readonly worker: WorkerName;
  /** Identifies the worker's process. */
  readonly incarnationStartUnixMs: number;
  /** Number of starts that are sent together: of the tasks of a gang, or 1. */
  readonly startCount: number;
  readonly sentMs: number;
  readonly atMs: number;
}

/** The last rejection by one worker. */
interface WorkerRejection {
  readonly incarnationStartUnixMs: number;
  readonly avoidUntilMs: number;
  readonly source: string;
  /** Whether it has rejected starts of several sources. */
  readonly isRepeated: boolean;
}

/** What is known of the rejections since a start was last accepted, for the log. */
export interface CircuitSummary {
  readonly rejections: number;
  readonly reasons: Readonly<Record<string, number>>;
  readonly workers: readonly WorkerName[];
  readonly sinceMs: number;
}

/** Where other work may be evicted for a trial: nowhere, or on all workers but these. */
export type EvictionLimit =
  | { readonly kind: "nowhere" }
  | { readonly kind: "except"; readonly workers: ReadonlySet<WorkerName> };

/** Looks up the present process of a worker; undefined if the worker is not known. */
export type FindIncarnation = (worker: WorkerName) => number | undefined;

/** The circuit of one step, or of one queue. */
export class StartCircuit {
  readonly #rejectedBy = new Map<WorkerName, WorkerRejection>();
  /** Workers that have rejected a start since one was last accepted; no more than are needed. */
  readonly #triedWorkers = new Set<WorkerName>();
  readonly #sources = new Set<string>();
  readonly #reasons = new Map<string, number>();
  #evidence = 0;
  /** Rejections in a row, each of a start that was sent after the one before was rejected. */
  #rounds = 0;
  #roundMs = Number.NEGATIVE_INFINITY;
  #rejections = 0;
  #firstRejectedMs = Number.POSITIVE_INFINITY;
  #lastRejectedMs = Number.NEGATIVE_INFINITY;
  #firstDelayMs = 0;
  #maximumDelayMs = 0;
  /** Rejected trials that were allowed to evict as the evidence was outdated. */
  #outdatedTrials = 0;
  #isTrialExpedited = false;
  #isOpen = false;

  private constructor() {}

  static create(): StartCircuit {
    return new StartCircuit();
  }

  /** Whether only trials may start. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** The earliest time of the next trial. */
  get nextTrialMs(): number {
    if (this.#isTrialExpedited) return Number.NEGATIVE_INFINITY;
    return this.#lastRejectedMs +
      Math.min(this.#computeDelayMs(), this.#maximumDelayMs);
  }

  get #isEvictingTrials(): boolean {
    return this.#computeDelayMs() < this.#maximumDelayMs;
  }

  #computeDelayMs(): number {
    return this.#firstDelayMs * DELAY_GROWTH ** (this.#rounds - 1);
  }

  /**
   * Takes note of a rejection; true if it opens the circuit. `sourcesToOpen`: of how many distinct
   * sources (1 or 2) starts must have been rejected.
   */
  recordRejection(rejection: StartRejection, sourcesToOpen: number): boolean {
    const { kind, reason, source, worker, sentMs, atMs } = rejection;
    const rule = RULES[kind];
    // Starts that were sent together are one piece of evidence.
    if (sentMs >= this.#roundMs) {
      this.#roundMs = atMs;
      this.#evidence += rule.evidence;
      this.#rounds++;
    }
    if (this.#isOpen && this.isOutdated(sentMs)) this.#outdatedTrials++;
    this.#isTrialExpedited = false;
    this.#rejections++;
    this.#reasons.set(reason, (this.#reasons.get(reason) ?? 0) + 1);
    this.#firstRejectedMs = Math.min(this.#firstRejectedMs, atMs);
    this.#lastRejectedMs = atMs;
    this.#firstDelayMs = FIRST_DELAY_MS * rejection.startCount;
    this.#maximumDelayMs = rule.maximumDelayMs;
    if (this.#triedWorkers.size < 2 || this.#isEvictingTrials) {
      this.#triedWorkers.add(worker);
    }
    if (this.#sources.size < MAXIMUM_SOURCES) this.#sources.add(source);
    const wasOpen = this.#isOpen;
    this.#isOpen ||= this.#evidence >= EVIDENCE_TO_OPEN &&
      this.#sources.size >= sourcesToOpen;
    if (this.#isOpen || kind !== "unspecific") {
      this.#recordWorker(rejection, rule);
    }
    return this.#isOpen && !wasOpen;
  }

  #recordWorker(
    { worker, incarnationStartUnixMs, source, atMs }: StartRejection,
    { avoidMs }: RejectionRule,
  ): void {
    this.#dropOutdated(atMs);
    const earlier = this.#rejectedBy.get(worker);
    // Keeps the order of the last rejections.
    this.#rejectedBy.delete(worker);
    this.#rejectedBy.set(worker, {
      incarnationStartUnixMs,
      avoidUntilMs: atMs + avoidMs,
      source,
      isRepeated: earlier !== undefined &&
        (earlier.isRepeated || earlier.source !== source),
    });
  }

  #dropOutdated(nowMs: number): void {
    for (const [worker, { avoidUntilMs }] of this.#rejectedBy) {
      if (avoidUntilMs <= nowMs) this.#rejectedBy.delete(worker);
    }
  }

  /** A worker has accepted a start; a unit that has started as a whole also calls `close`. */
  recordAcceptance(worker: WorkerName): void {
    this.#rejectedBy.delete(worker);
  }

  /** A unit has started: true if the circuit was open. Workers that reject are still avoided. */
  close(): boolean {
    const wasOpen = this.#isOpen;
    this.#isOpen = false;
    this.#evidence = 0;
    this.#rounds = 0;
    this.#rejections = 0;
    this.#reasons.clear();
    this.#sources.clear();
    this.#firstRejectedMs = Number.POSITIVE_INFINITY;
    this.#triedWorkers.clear();
    this.#outdatedTrials = 0;
    this.#isTrialExpedited = false;
    return wasOpen;
  }

  /**
   * Whether the work, and not the worker, explains the rejections: several workers have rejected it,
   * or this one has accepted a start since (`lastAcceptedMs`).
   */
  isAttributedToWork(lastAcceptedMs: number): boolean {
    return this.#triedWorkers.size > 1 ||
      lastAcceptedMs > this.#firstRejectedMs;
  }

  /** Starts of other work of the queue are accepted again: the next trial is due now. */
  expediteTrial(): void {
    this.#isTrialExpedited = true;
  }

  /**
   * Workers whose present process has rejected a start lately, in the order of their last rejection.
   * `isRepeatedOnly`: of several sources.
   */
  listRejecting(
    nowMs: number,
    findIncarnation: FindIncarnation,
    isRepeatedOnly = false,
  ): readonly WorkerName[] {
    return [...this.#rejectedBy].filter(([worker, rejection]) =>
      rejection.avoidUntilMs > nowMs &&
      (rejection.isRepeated || !isRepeatedOnly) &&
      findIncarnation(worker) === rejection.incarnationStartUnixMs
    ).map(([worker]) => worker);
  }

  /**
   * Limits the evictions for a trial; undefined for no limit. On a full cell a trial may evict on
   * each worker once, to find one that accepts it, until the delays have grown to their maximum.
   */
  getEvictionLimit(nowMs: number): EvictionLimit | undefined {
    if (!this.#isOpen || this.isOutdated(nowMs)) return undefined;
    return this.#isEvictingTrials
      ? { kind: "except", workers: this.#triedWorkers }
      : { kind: "nowhere" };
  }

  /** Whether the last rejection is too old to tell what the next start meets. */
  isOutdated(nowMs: number): boolean {
    const doublings = Math.min(
      this.#outdatedTrials,
      MAXIMUM_LIFETIME_DOUBLINGS,
    );
    const lifetimeMs = EVIDENCE_LIFETIME_DELAYS * this.#maximumDelayMs *
      2 ** doublings;
    return nowMs - this.#lastRejectedMs > lifetimeMs;
  }

  /** Whether it can be dropped: no rejection is left that changes a decision. */
  isIdle(nowMs: number): boolean {
    this.#dropOutdated(nowMs);
    return !this.#isOpen && this.#rejectedBy.size === 0 &&
      (this.#evidence === 0 || this.isOutdated(nowMs));
  }

  summarise(): CircuitSummary {
    return {
      rejections: this.#rejections,
      reasons: Object.fromEntries(this.#reasons),
      workers: [...this.#rejectedBy.keys()],
      sinceMs: this.#firstRejectedMs,
    };
  }
}
