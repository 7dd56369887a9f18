/** Injects faults into calls of a table service or an object store, for tests and the stand-ins. */
import type { Clock } from "@coltsfootpond/common";
import type {
  CallOptions,
  GetOutcome,
  ObjectPort,
  PutOutcome,
  ReadOutcome,
  TablePort,
  TableTransaction,
  TransactionOutcome,
  Unavailable,
} from "../types.ts";

/** The faults to inject; a test or the stand-in's control interface sets the fields. */
export class FaultInjector {
  readonly #clock: Clock;
  /** Refuses every call. */
  down = false;
  /** Delays a call's effect; it takes effect even if the caller has timed out by then. */
  delayBeforeMs = 0;
  /** Delays the outcome after the effect. */
  delayAfterMs = 0;
  /** Number of next calls whose outcome is lost after the effect. */
  loseAnswers = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): FaultInjector {
    return new FaultInjector(clock);
  }

  /** Runs one call with the faults that are set. */
  runCall<Outcome>(
    options: CallOptions,
    call: () => Promise<Outcome>,
  ): Promise<Outcome | Unavailable> {
    if (this.down) {
      return Promise.resolve(
        { kind: "unavailable", effect: "refused", reason: "down" },
      );
    }
    if (this.delayBeforeMs === 0 && this.delayAfterMs === 0) {
      return this.#loseAnswerIfSet(call());
    }
    return new Promise((resolve) => {
      const timer = this.#clock.after(
        options.timeoutMs,
        () =>
          resolve({ kind: "unavailable", effect: "lost", reason: "timeout" }),
      );
      void this.#callWithDelays(call).then((outcome) => {
        timer.cancel();
        resolve(outcome);
      });
    });
  }

  async #callWithDelays<Outcome>(
    call: () => Promise<Outcome>,
  ): Promise<Outcome | Unavailable> {
    if (this.delayBeforeMs > 0) await this.#clock.sleep(this.delayBeforeMs);
    const outcome = await this.#loseAnswerIfSet(call());
    if (this.delayAfterMs > 0) await this.#clock.sleep(this.delayAfterMs);
    return outcome;
  }

  async #loseAnswerIfSet<Outcome>(
    pending: Promise<Outcome>,
  ): Promise<Outcome | Unavailable> {
    const outcome = await pending;
    if (this.loseAnswers === 0) return outcome;
    this.loseAnswers -= 1;
    return { kind: "unavailable", effect: "lost", reason: "answer lost" };
  }
}

/** A table service with injected faults. */
export class FaultyTable implements TablePort {
  readonly #inner: TablePort;
  readonly faults: FaultInjector;

  private constructor(inner: TablePort, faults: FaultInjector) {
    this.#inner = inner;
    this.faults = faults;
  }

  static create(inner: TablePort, faults: FaultInjector): FaultyTable {
    return new FaultyTable(inner, faults);
  }

  transact(
    transaction: TableTransaction,
    options: CallOptions,
  ): Promise<TransactionOutcome> {
    return this.faults.runCall(
      options,
      () => this.#inner.transact(transaction, options),
    );
  }

  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome> {
    return this.faults.runCall(options, () => this.#inner.read(keys, options));
  }

  scan(prefix: string, options: CallOptions): Promise<ReadOutcome> {
    return this.faults.runCall(
      options,
      () => this.#inner.scan(prefix, options),
    );
  }
}

/** An object store with injected faults. */
export class FaultyObjects implements ObjectPort {
  readonly #inner: ObjectPort;
  readonly faults: FaultInjector;

  private constructor(inner: ObjectPort, faults: FaultInjector) {
    this.#inner = inner;
    this.faults = faults;
  }

  static create(inner: ObjectPort, faults: FaultInjector): FaultyObjects {
    return new FaultyObjects(inner, faults);
  }

  put(
    key: string,
    content: Uint8Array,
    options: CallOptions,
  ): Promise<PutOutcome> {
    return this.faults.runCall(
      options,
      () => this.#inner.put(key, content, options),
    );
  }

  get(key: string, options: CallOptions): Promise<GetOutcome> {
    return this.faults.runCall(options, () => this.#inner.get(key, options));
  }
}
