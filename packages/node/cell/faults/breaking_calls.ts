/** Calls to workers that throw or reject instead of having an outcome, carried out or not. */
import type { ManualClock, Random } from "@coltsfootpond/common";
import type { WorkerPort } from "@coltsfootpond/ports";

/** Share of the calls that break. */
const BROKEN_SHARE = 0.1;

export interface BreakingCallsOptions {
  readonly clock: ManualClock;
  readonly random: Random;
  /** No call breaks from then on. */
  readonly untilMs: number;
}

/** Breaks calls of the port: before they are sent, by a throw or a rejection, or afterwards. */
export function breakCalls(
  port: WorkerPort,
  { clock, random, untilMs }: BreakingCallsOptions,
): WorkerPort {
  function call<Outcome>(run: () => Promise<Outcome>): Promise<Outcome> {
    const isBroken = clock.nowMs() < untilMs && random.next() < BROKEN_SHARE;
    if (!isBroken) return run();
    const error = new Error("broken call");
    const form = random.next();
    if (form < 0.25) throw error;
    if (form < 0.5) return Promise.reject(error);
    return run().then(() => Promise.reject(error));
  }

  return {
    start: (...values) => call(() => port.start(...values)),
    stop: (...values) => call(() => port.stop(...values)),
    renew: (...values) => call(() => port.renew(...values)),
    forget: (target) => port.forget(target),
  };
}
