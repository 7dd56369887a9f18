/**
 * Whether a unit crashes the workers that start it. A worker's process may end for reasons of its
 * own, so a single crash proves nothing, and a run that was seen to last shows that the unit is able.
 */

/** How surely a run made its worker's process end. */
export const CRASH_EVIDENCE = {
  /** The process ended right after the start, and other workers went on. */
  AT_START: "at_start",
  /** The process ended while it had the run, but when or why is not known. */
  UNCERTAIN: "uncertain",
} as const;
export type CrashEvidence =
  (typeof CRASH_EVIDENCE)[keyof typeof CRASH_EVIDENCE];

/** A run whose worker's process ended under it. */
export interface Crash {
  readonly run: number;
  readonly evidence: CrashEvidence;
  /** Address of the worker, as the process may come back under another name. */
  readonly machine: string;
}

/** What is known about a run whose worker's process has ended. */
export interface LostRun {
  /**
   * Whether the worker's machine closed or refused the connection, as it does when a process ends;
   * false for a worker that fell silent, undefined when it answered until it had restarted.
   */
  readonly isClosed: boolean | undefined;
  /**
   * Time from sending the start until contact was lost; undefined when that was not seen or another
   * lease holder sent the start.
   */
  readonly lostAfterMs: number | undefined;
  /** Time between the first and the last report that list the run, on the worker's clock. */
  readonly survivedMs: number;
  /** Other workers that were lost alike at about the same time for another reason than this job. */
  readonly otherLostWorkers: number;
}

/** A process that ends later after the start is not taken as ended by it. */
const CRASH_AT_START_MS = 1_000;
/** A run that lasts this long has not crashed its worker by its start. */
const SURVIVAL_MS = 1_000;
/** More workers than one unit's run explains: a power loss, a cut or a failing rack. */
const WAVE_WORKERS = 3;
/** The crashes at the start, each on another machine, by which a unit is given up. */
const CRASHES_TO_GIVE_UP = 3;
/**
 * Crashes without a run that lasted, whatever their evidence, by which a unit is given up: after the
 * third, at most two more starts are allowed (the platform's rules).
 */
const MAXIMUM_CRASHES = 5;

/** The evidence of a lost run; undefined for one that lasted or was on a worker cut off with others. */
export function classifyLostRun(run: LostRun): CrashEvidence | undefined {
  const { isClosed, lostAfterMs, survivedMs, otherLostWorkers } = run;
  if (hasLasted(survivedMs)) return undefined;
  const isWave = otherLostWorkers >= WAVE_WORKERS;
  if (isClosed === false && isWave) return undefined;
  const isAtStart = isClosed === true && !isWave &&
    lostAfterMs !== undefined && lostAfterMs <= CRASH_AT_START_MS;
  return isAtStart ? CRASH_EVIDENCE.AT_START : CRASH_EVIDENCE.UNCERTAIN;
}

/** Whether a run has lasted long enough to show that its start crashes no worker. */
export function hasLasted(survivedMs: number): boolean {
  return survivedMs >= SURVIVAL_MS;
}

/**
 * Whether the unit's next start is isolated: its neighbours would be lost with another crash, and
 * other new runs would make the evidence ambiguous.
 */
export function isSuspect(crashes: readonly Crash[]): boolean {
  return crashes.length > 1 ||
    crashes.some(({ evidence }) => evidence === CRASH_EVIDENCE.AT_START);
}

/** Whether the unit is given up, as it would crash any worker. */
export function isGivenUp(crashes: readonly Crash[]): boolean {
  if (crashes.length >= MAXIMUM_CRASHES) return true;
  const machines = new Set(
    crashes.filter(({ evidence }) => evidence === CRASH_EVIDENCE.AT_START)
      .map(({ machine }) => machine),
  );
  return machines.size >= CRASHES_TO_GIVE_UP;
}
