/** Admits calls of one service, queues them, or refuses them when their deadline is too near. */
import type {
  CallServiceDeclaration,
  Clock,
  Timer,
} from "@coltsfootpond/common";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import {
  ADMISSION_CHECK_PERIOD_MS,
  MAXIMUM_QUEUED_REQUESTS,
  MINIMUM_RETRY_AFTER_MS,
  QUEUE_WAIT_SHARE,
} from "./constants.ts";
import { DurationEstimate } from "./duration_estimate.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
import { type CallRequest, failed, type FailedOutcome } from "./types.ts";

/** Undefined when the call is admitted; `leave` must then be called when the call ends. */
export type AdmissionOutcome = FailedOutcome | undefined;

interface WaitingCall extends QueueItem {
  readonly complete: (outcome: AdmissionOutcome) => void;
}

export interface ServiceAdmissionOptions {
  readonly clock: Clock;
  readonly service: CallServiceDeclaration;
  /** Calls that this entry may have in progress on the runners of the service now. */
  readonly getCapacity: (service: CallServiceDeclaration) => number;
}

/** One per service; the admission filter calls `enter` and `leave`. */
export class ServiceAdmission {
  readonly #options: ServiceAdmissionOptions;
  readonly #limit: ConcurrencyLimit;
  readonly #queue = FairQueue.create<WaitingCall>();
  /** The declaration in the configuration of the call that entered last. */
  #service: CallServiceDeclaration;
  #inProgress = 0;
  readonly #duration = DurationEstimate.create();
  #checkTimer: Timer | undefined;

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

  /** Resolves when the call is admitted or refused; a queued call waits until then. */
  enter(request: CallRequest): Promise<AdmissionOutcome> {
    this.#service = request.service;
    const limit = this.#getLimit();
    if (limit === 0) {
      return Promise.resolve(
        failed("NO_UPSTREAM", { retryAfterMs: MINIMUM_RETRY_AFTER_MS }),
      );
    }
    if (this.#inProgress < limit && this.#queue.size === 0) {
      return Promise.resolve(this.#admit(request.deadlineMs));
    }
    const refusal = this.#refuseEarly(request, limit);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return this.#enqueue(request);
  }

  leave(): void {
    this.#inProgress--;
    this.#drain();
  }

  /** Records an answered attempt. */
  recordAnswered(durationMs: number): void {
    this.#duration.add(durationMs);
    this.#limit.recordAttempt(false, this.#inProgress);
  }

  /** Records a failed attempt; `refused` when its runner had no free slot. */
  recordFailed(refused: boolean): void {
    this.#limit.recordAttempt(refused, this.#inProgress);
  }

  #getLimit(): number {
    return this.#limit.get(this.#options.getCapacity(this.#service));
  }

  #admit(deadlineMs: number): AdmissionOutcome {
    if (!this.#canMeetDeadline(deadlineMs)) {
      const retryAfterMs = MINIMUM_RETRY_AFTER_MS;
      return failed("DEADLINE_UNREACHABLE", { retryAfterMs });
    }
    this.#inProgress++;
    return undefined;
  }

  /** Without a call in progress the estimate gets no new samples, so any call is admitted. */
  #canMeetDeadline(deadlineMs: number): boolean {
    const neededMs = this.#inProgress === 0 ? 0 : this.#getNeededMs();
    return this.#options.clock.nowMs() + neededMs < deadlineMs;
  }

  /** Bounded, because an attempt without progress times out after `progressTimeoutMs`. */
  #getNeededMs(): number {
    return Math.min(
      this.#duration.upperBoundMs,
      this.#service.progressTimeoutMs,
    );
  }

  #refuseEarly(request: CallRequest, limit: number): AdmissionOutcome {
    const { name, weight } = request.organisation;
    const ahead = this.#queue.countAhead(name, weight);
    const waitMs = (ahead + 1) * this.#duration.meanMs / limit;
    const retryAfterMs = Math.max(waitMs, MINIMUM_RETRY_AFTER_MS);
    if (this.#queue.size >= MAXIMUM_QUEUED_REQUESTS) {
      return failed("QUEUE_FULL", { retryAfterMs });
    }
    if (!this.#duration.hasEnoughSamples) return undefined;
    const remainingMs = request.deadlineMs - this.#options.clock.nowMs();
    const maximumWaitMs = (remainingMs - this.#getNeededMs()) *
      QUEUE_WAIT_SHARE;
    if (waitMs > maximumWaitMs) {
      return failed("DEADLINE_UNREACHABLE", { retryAfterMs });
    }
    return undefined;
  }

  /** Queues the call, and refuses it as soon as the estimate exceeds its remaining time. */
  #enqueue(request: CallRequest): Promise<AdmissionOutcome> {
    const { clock } = this.#options;
    const { deadlineMs, organisation, exchange } = request;
    return new Promise((resolve) => {
      const getSpareMs = (): number =>
        deadlineMs - this.#getNeededMs() - clock.nowMs();
      const refuse = (): void => {
        if (!this.#queue.remove(waiting)) return;
        const retryAfterMs = MINIMUM_RETRY_AFTER_MS;
        waiting.complete(failed("DEADLINE_UNREACHABLE", { retryAfterMs }));
      };
      const refuseWhenLate = (): void => {
        const spareMs = getSpareMs();
        if (spareMs <= 0) refuse();
        else timer = clock.after(spareMs, refuseWhenLate);
      };
      let timer = clock.after(getSpareMs(), refuseWhenLate);
      exchange.signal.addEventListener("abort", refuse, { once: true });
      const waiting: WaitingCall = {
        organisation: organisation.name,
        weight: organisation.weight,
        deadlineMs,
        complete: (outcome) => {
          timer.cancel();
          exchange.signal.removeEventListener("abort", refuse);
          resolve(outcome);
        },
      };
      this.#queue.push(waiting);
      this.#scheduleCheck();
    });
  }

  #drain(): void {
    while (this.#queue.size > 0) {
      const limit = this.#getLimit();
      if (this.#inProgress >= limit) return;
      const waiting = this.#queue.pop();
      waiting?.complete(this.#admit(waiting.deadlineMs));
    }
  }

  /** Capacity may grow without a call ending, for example when a runner is added. */
  #scheduleCheck(): void {
    this.#checkTimer ??= this.#options.clock.after(
      ADMISSION_CHECK_PERIOD_MS,
      () => {
        this.#checkTimer = undefined;
        this.#drain();
        if (this.#queue.size > 0) this.#scheduleCheck();
      },
    );
  }
}
