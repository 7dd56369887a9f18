/**
 * The keyed requests in progress on this entry: those whose caller chose the request id, by which
 * it may query and cancel them.
 */
import type { OrganisationName, RequestId } from "@coltsfootpond/common";

/** A keyed request in progress. */
export interface CallInProgress {
  /** Cancels the request: an idempotent attempt is aborted, a non-idempotent one completes. */
  readonly cancel: () => void;
}

/** Tracks requests by organisation and request id. */
export class CallsInProgress {
  readonly #calls = new Map<string, CallInProgress>();

  private constructor() {}

  static create(): CallsInProgress {
    return new CallsInProgress();
  }

  get(
    organisation: OrganisationName,
    requestId: RequestId,
  ): CallInProgress | undefined {
    return this.#calls.get(`${organisation}/${requestId}`);
  }

  /** Tracks the call until `work` ends. A resend while it is tracked runs untracked. */
  async track<Result>(
    organisation: OrganisationName,
    requestId: RequestId,
    call: CallInProgress,
    work: () => Promise<Result>,
  ): Promise<Result> {
    const key = `${organisation}/${requestId}`;
    if (this.#calls.has(key)) return await work();
    this.#calls.set(key, call);
    try {
      return await work();
    } finally {
      this.#calls.delete(key);
    }
  }
}
