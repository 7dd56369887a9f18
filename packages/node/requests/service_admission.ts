/** Decides which calls of one service go on now, which wait, and which are refused at once. */
import type {
  CallServiceDeclaration,
  Clock,
  Timer,
} from "@coltsfootpond/common";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import {
  ADMISSION_CHECK_MS,
  MAXIMUM_QUEUED_REQUESTS,
  QUEUE_WAIT_SHARE,
  UNREADY_RETRY_AFTER_MS,
} from "./constants.ts";
import { DurationEstimate } from "./duration_estimate.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
import { type CallRequest, failed, type FailedOutcome } from "./types.ts";

/** Undefined: the call may go on and must call `leave` when it ends. */
export type Admission = FailedOutcome | undefined;

interface WaitingCall extends QueueItem {
  readonly settle: (admission: Admission) => void;
}

export interface ServiceAdmissionOptions {
  readonly clock: Clock;
  readonly service: CallServiceDeclaration;
  /** Calls that the upstream pool can take from this entry now. */
  readonly getCapacity: (service: CallServiceDeclaration) => number;
}

export class ServiceAdmission {
  readonly #options: ServiceAdmissionOptions;
  readonly #limit: ConcurrencyLimit;
  readonly #queue = FairQueue.create<WaitingCall>();
  /** As declared in the newest configuration that a call was pinned to. */
  #service: CallServiceDeclaration;
  #inProgress = 0;
  readonly #duration = DurationEstimate.create();
  #check: Timer | undefined;

  private constructor(options: ServiceAdmissionOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#limit = ConcurrencyLimit.create(options.clock);
  }

  static create(options: ServiceAdmissionOptions): ServiceAdmission {
    return new ServiceAdmission(options);
  }

  get inProgress(): number {
    return this.#inProgress;
  }

  get queued(): number {
    return this.#queue.size;
  }

  enter(request: CallRequest): Promise<Admission> {
    this.#service = request.service;
    const limit = this.#getLimit();
    if (limit === 0) {
      return Promise.resolve(
        failed("NO_UPSTREAM", { retryAfterMs: UNREADY_RETRY_AFTER_MS }),
      );
    }
    if (this.#inProgress < limit && this.#queue.size === 0) {
      return Promise.resolve(this.#admit(request.deadlineMs));
    }
    const refusal = this.#refuseEarly(request, limit);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return this.#wait(request);
  }

  leave(): void {
    this.#inProgress--;
    this.#drain();
  }

  /** An attempt was answered. */
  noteAnswered(durationMs: number): void {
    this.#duration.add(durationMs);
    this.#limit.noteAttempt(false, this.#inProgress);
  }

  /** An attempt failed; `refused` when its runner was full. */
  noteFailed(refused: boolean): void {
    this.#limit.noteAttempt(refused, this.#inProgress);
  }

  #getLimit(): number {
    return this.#limit.get(this.#options.getCapacity(this.#service));
  }

  #admit(deadlineMs: number): Admission {
    if (!this.#isReachable(deadlineMs)) {
      const retryAfterMs = UNREADY_RETRY_AFTER_MS;
      return failed("DEADLINE_UNREACHABLE", { retryAfterMs });
    }
    this.#inProgress++;
    return undefined;
  }

  /** Without a call in progress the estimate cannot mend itself, so any call may try. */
  #isReachable(deadlineMs: number): boolean {
    const neededMs = this.#inProgress === 0 ? 0 : this.#getNeededMs();
    return this.#options.clock.nowMs() + neededMs < deadlineMs;
  }

  /** An attempt with no progress for longer is given up in any case. */
  #getNeededMs(): number {
    return Math.min(this.#duration.safeMs, this.#service.progressTimeoutMs);
  }

  #refuseEarly(request: CallRequest, limit: number): Admission {
    const { name, weight } = request.organisation;
    const ahead = this.#queue.countAhead(name, weight);
    const waitMs = (ahead + 1) * this.#duration.meanMs / limit;
    const retryAfterMs = Math.max(waitMs, UNREADY_RETRY_AFTER_MS);
    if (this.#queue.size >= MAXIMUM_QUEUED_REQUESTS) {
      return failed("QUEUE_FULL", { retryAfterMs });
    }
    if (!this.#duration.isSettled) return undefined;
    const remainingMs = request.deadlineMs - this.#options.clock.nowMs();
    const longestMs = (remainingMs - this.#getNeededMs()) * QUEUE_WAIT_SHARE;
    if (waitMs > longestMs) {
      return failed("DEADLINE_UNREACHABLE", { retryAfterMs });
    }
    return undefined;
  }

  /** Ends as soon as the deadline can no longer be met by what is known then, not at the deadline. */
  #wait(request: CallRequest): Promise<Admission> {
    const { clock } = this.#options;
    const { deadlineMs, organisation, exchange } = request;
    return new Promise((resolve) => {
      const getTimeLeftMs = (): number =>
        deadlineMs - this.#getNeededMs() - clock.nowMs();
      const giveUp = (): void => {
        if (!this.#queue.remove(waiting)) return;
        const retryAfterMs = UNREADY_RETRY_AFTER_MS;
        waiting.settle(failed("DEADLINE_UNREACHABLE", { retryAfterMs }));
      };
      const giveUpWhenLate = (): void => {
        const leftMs = getTimeLeftMs();
        if (leftMs <= 0) giveUp();
        else timer = clock.after(leftMs, giveUpWhenLate);
      };
      let timer = clock.after(getTimeLeftMs(), giveUpWhenLate);
      exchange.signal.addEventListener("abort", giveUp, { once: true });
      const waiting: WaitingCall = {
        organisation: organisation.name,
        weight: organisation.weight,
        deadlineMs,
        settle: (admission) => {
          timer.cancel();
          exchange.signal.removeEventListener("abort", giveUp);
          resolve(admission);
        },
      };
      this.#queue.push(waiting);
      this.#armCheck();
    });
  }

  #drain(): void {
    while (this.#queue.size > 0) {
      const limit = this.#getLimit();
      if (this.#inProgress >= limit) return;
      const waiting = this.#queue.pop();
      waiting?.settle(this.#admit(waiting.deadlineMs));
    }
  }

  /** Capacity may come back without any call ending. */
  #armCheck(): void {
    this.#check ??= this.#options.clock.after(ADMISSION_CHECK_MS, () => {
      this.#check = undefined;
      this.#drain();
      if (this.#queue.size > 0) this.#armCheck();
    });
  }
}
