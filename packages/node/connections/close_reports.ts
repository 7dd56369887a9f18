/**
 * Reports closed connections to the operator: counts all of them, and logs when a limit is first met
 * and when it no longer is, not each connection.
 */
import type { Clock, Timer } from "@coltsfootpond/common";
import { CLOSE_CODE, CLOSE_REASON, type CloseReason } from "./close_reasons.ts";

/** After this time without a closed connection the limit is no longer met. */
const QUIET_MS = 10_000;
/** Usual for clients that have nothing more to send. */
const UNREPORTED: ReadonlySet<CloseReason> = new Set([CLOSE_REASON.IDLE]);

export interface CloseReport {
  readonly reason: CloseReason;
  readonly code: number;
  /** Connections closed since the limit was first met. */
  readonly connections: number;
  /** From the first to the last of them. */
  readonly lastedMs: number;
}

export interface CloseReportsOptions {
  readonly clock: Clock;
  readonly count: (reason: CloseReason) => void;
  readonly onMet: (report: CloseReport) => void;
  readonly onOver: (report: CloseReport) => void;
}

interface Episode {
  readonly startedMs: number;
  lastMs: number;
  connections: number;
}

export class CloseReports {
  readonly #options: CloseReportsOptions;
  readonly #episodes = new Map<CloseReason, Episode>();
  #check: Timer | undefined;

  private constructor(options: CloseReportsOptions) {
    this.#options = options;
  }

  static create(options: CloseReportsOptions): CloseReports {
    return new CloseReports(options);
  }

  note(reason: CloseReason): void {
    const { clock, count, onMet } = this.#options;
    count(reason);
    if (UNREPORTED.has(reason)) return;
    const nowMs = clock.nowMs();
    const known = this.#episodes.get(reason);
    if (known !== undefined) {
      known.connections++;
      known.lastMs = nowMs;
      return;
    }
    const episode = { startedMs: nowMs, lastMs: nowMs, connections: 1 };
    this.#episodes.set(reason, episode);
    this.#check ??= clock.every(QUIET_MS, () => this.#endQuiet());
    onMet(createReport(reason, episode));
  }

  #endQuiet(): void {
    const { clock, onOver } = this.#options;
    const quietSinceMs = clock.nowMs() - QUIET_MS;
    for (const [reason, episode] of this.#episodes) {
      if (episode.lastMs > quietSinceMs) continue;
      this.#episodes.delete(reason);
      onOver(createReport(reason, episode));
    }
    if (this.#episodes.size > 0) return;
    this.#check?.cancel();
    this.#check = undefined;
  }
}

function createReport(
  reason: CloseReason,
  { connections, startedMs, lastMs }: Episode,
): CloseReport {
  return {
    reason,
    code: CLOSE_CODE[reason],
    connections,
    lastedMs: Math.round(lastMs - startedMs),
  };
}
