/**
 * Decides at submission whether a job can never run because one of its units is wider than the quota
 * of its organisation. A refusal promises that the job has not run and will not, so it needs quotas
 * that have ruled the job out for as long as an earlier submission of it may still take effect.
 */
import type { Clock } from "@coltsfootpond/common";
import {
  type CellJobSpec,
  type CellResources,
  computeRequirement,
  isWithinQuota,
} from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";

/**
 * Longer than a caller repeats a submission (a few seconds, see RETRY_AFTER_S in caller_filters.ts),
 * than the store takes to apply a write, and than versions differ between entries (2 s).
 */
const MEMORY_MS = 10_000;

/** A unit that can never start, and the quota that it exceeds. */
export interface TooWideUnit {
  readonly step: number;
  readonly requirement: CellResources;
  readonly quota: CellResources;
  readonly declaredVersion: number;
}

interface KnownState {
  readonly state: DeclaredState;
  readonly sinceMs: number;
}

export class QuotaHistory {
  readonly #clock: Clock;
  /** In order of time; the last one is in force. */
  #states: readonly KnownState[] = [];

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): QuotaHistory {
    return new QuotaHistory(clock);
  }

  /** Takes note of the state in force; undefined while none is known. */
  record(state: DeclaredState | undefined): void {
    if (state === undefined || state === this.#states.at(-1)?.state) return;
    this.#states = [...this.#states, { state, sinceMs: this.#clock.nowMs() }];
  }

  /** Undefined unless all quotas of the last MEMORY_MS, which must be known, rule the job out. */
  findTooWide(spec: CellJobSpec): TooWideUnit | undefined {
    const oldestMs = this.#clock.nowMs() - MEMORY_MS;
    const isOver = (_: KnownState, index: number) =>
      (this.#states[index + 1]?.sinceMs ?? Infinity) <= oldestMs;
    this.#states = this.#states.filter((state, index) => !isOver(state, index));
    const [oldest] = this.#states;
    if (oldest === undefined || oldest.sinceMs > oldestMs) return undefined;
    const found = this.#states.map(({ state }) => findTooWide(spec, state));
    return found.includes(undefined) ? undefined : found.at(-1);
  }
}

function findTooWide(
  { organisation, steps }: CellJobSpec,
  { shares, version }: DeclaredState,
): TooWideUnit | undefined {
  const quota = shares.find((share) => share.organisation === organisation)
    ?.quota;
  if (organisation === undefined || quota === undefined) return undefined;
  for (const [number, step] of steps.entries()) {
    const count = step.isGang ? step.count : 1;
    const requirement = computeRequirement({ step, count });
    if (isWithinQuota(requirement, quota)) continue;
    return { step: number, requirement, quota, declaredVersion: version };
  }
  return undefined;
}
