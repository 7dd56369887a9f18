/** Tracks which entries have acknowledged the newest change of each failure domain. */
import type {
  Clock,
  EntryName,
  FailureDomainName,
} from "@coltsfootpond/common";

interface ExpectedAcknowledgements {
  version: number;
  readonly entries: Set<EntryName>;
  readonly waiters: Set<() => void>;
}

export class PendingAcknowledgements {
  readonly #expected = new Map<FailureDomainName, ExpectedAcknowledgements>();

  private constructor() {}

  static create(): PendingAcknowledgements {
    return new PendingAcknowledgements();
  }

  /** Collects acknowledgements of `version`; restarts when it is newer than the version before. */
  expect(failureDomain: FailureDomainName, version: number): void {
    const known = this.#expected.get(failureDomain);
    if (known !== undefined && known.version >= version) return;
    // An acknowledgement of the newer version covers the older one, so its waiters go on with it.
    this.#expected.set(failureDomain, {
      version,
      entries: new Set(),
      waiters: known?.waiters ?? new Set(),
    });
  }

  /** Counts an acknowledgement of the expected version or a higher one. */
  add(
    failureDomain: FailureDomainName,
    version: number,
    entry: EntryName,
  ): void {
    const known = this.#expected.get(failureDomain);
    if (known === undefined || version < known.version) return;
    known.entries.add(entry);
    known.waiters.forEach((notify) => notify());
  }

  /** Entries that have acknowledged the expected version. */
  list(failureDomain: FailureDomainName): ReadonlySet<EntryName> {
    return this.#expected.get(failureDomain)?.entries ?? new Set();
  }

  listFailureDomains(): readonly FailureDomainName[] {
    return [...this.#expected.keys()];
  }

  /**
   * Resolves when all of `entries` have acknowledged the expected version or one that replaced it
   * meanwhile, or after `timeoutMs`.
   */
  waitFor(
    failureDomain: FailureDomainName,
    entries: readonly EntryName[],
    clock: Clock,
    timeoutMs: number,
  ): Promise<void> {
    const expected = this.#expected.get(failureDomain);
    if (expected === undefined) return Promise.resolve();
    const isComplete = () => {
      const acknowledged = this.list(failureDomain);
      return entries.every((entry) => acknowledged.has(entry));
    };
    if (isComplete()) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = () => {
        timer.cancel();
        expected.waiters.delete(check);
        resolve();
      };
      const check = () => {
        if (isComplete()) finish();
      };
      const timer = clock.after(timeoutMs, finish);
      expected.waiters.add(check);
    });
  }
}
