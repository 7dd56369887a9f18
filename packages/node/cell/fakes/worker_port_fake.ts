/** Sends commands to fake workers, with answers that take time or are lost. */
import type { ManualClock, WorkerName } from "@coltsfootpond/common";
import type { Unavailable, WorkerPort } from "@coltsfootpond/ports";
import { UNANSWERED, type WorkerFake } from "../workers_fake.ts";

/** Time until a call arrives. */
const CALL_DURATION_MS = 2;
/** Period at which a long poll looks for an end. */
const POLL_CHECK_PERIOD_MS = 10;

/** Calls `workers`; long polls wait for an end. */
export function createWorkerPortFake(
  workers: ReadonlyMap<WorkerName, WorkerFake>,
  clock: ManualClock,
): WorkerPort {
  /** Delivers the answer that the worker gave to a call, or its absence after the time-out. */
  async function deliver<Outcome extends { readonly kind: string }>(
    worker: WorkerFake,
    outcome: Outcome | Unavailable,
    timeoutMs: number,
  ): Promise<Outcome | Unavailable> {
    const delayMs = outcome.kind === "unavailable"
      ? timeoutMs
      : worker.drawAnswerDelayMs();
    if (delayMs > 0) await clock.sleep(Math.min(delayMs, timeoutMs));
    return delayMs < timeoutMs ? outcome : UNANSWERED;
  }

  async function call<Outcome extends { readonly kind: string }>(
    name: WorkerName,
    timeoutMs: number,
    send: (worker: WorkerFake) => Outcome | Promise<Outcome>,
  ): Promise<Outcome | Unavailable> {
    await clock.sleep(CALL_DURATION_MS);
    const worker = workers.get(name)!;
    return await deliver(worker, await send(worker), timeoutMs);
  }

  return {
    start: ({ worker }, command, timeoutMs) =>
      call(worker, timeoutMs, (fake) => fake.start(command)),
    stop: ({ worker }, command, timeoutMs) =>
      call(worker, timeoutMs, (fake) => fake.stop(command)),
    renew: ({ worker }, command, timeoutMs) =>
      call(worker, timeoutMs, async (fake) => {
        const process = fake.processNumber;
        let outcome = fake.renew(command);
        const deadlineMs = clock.nowMs() + command.longPollMs;
        while (
          outcome.kind === "report" && outcome.ended.length === 0 &&
          clock.nowMs() < deadlineMs
        ) {
          await clock.sleep(POLL_CHECK_PERIOD_MS);
          // The connection ends with the process.
          if (process !== fake.processNumber) return UNANSWERED;
          // The acknowledgement and the lease took effect when the call arrived.
          outcome = fake.renew({
            ...command,
            leaseUntilMs: undefined,
            acknowledgedSequence: 0,
          });
        }
        return outcome;
      }),
    forget: () => {},
  };
}
