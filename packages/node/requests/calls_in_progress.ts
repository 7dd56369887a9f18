/** The keyed requests that this entry has in progress, so that their callers can ask and cancel. */
import type { OrganisationName, RequestId } from "@coltsfootpond/common";

export interface CallInProgress {
  /** Gives the request up; an idempotent attempt is cut, a non-idempotent one runs on. */
  readonly cancel: () => void;
}

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

  /** Keeps the call until `work` ends. */
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
