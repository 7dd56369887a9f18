/** The platform's VM list; readers see a change only after the lag. */
import type { Clock } from "@coltsfootpond/common";
import type {
  VmListOptions,
  VmListOutcome,
  VmListPort,
  VmRecord,
} from "@coltsfootpond/ports";

/** The registered VMs, and the delayed list of them that readers get. */
export class VmRegistry implements VmListPort {
  readonly #clock: Clock;
  readonly #current = new Map<string, VmRecord>();
  /** Revision of each list that readers get or will get. */
  readonly #revisions = new WeakMap<readonly VmRecord[], string>();
  #changeCount = 0;
  #visible: readonly VmRecord[] = [];
  /** Time from a change until readers see it. */
  lagMs = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): VmRegistry {
    return new VmRegistry(clock);
  }

  register(record: VmRecord): void {
    this.#change(() => this.#current.set(record.name, record));
  }

  /** Marks a VM as leaving; for the balancer at once, for readers of the list after the lag. */
  leave(name: string): void {
    const record = this.#current.get(name);
    if (record === undefined) return;
    this.#change(() =>
      this.#current.set(name, { ...record, state: "leaving" })
    );
  }

  remove(name: string): void {
    this.#change(() => this.#current.delete(name));
  }

  /** The list as readers see it, or `unchanged` when its revision is `knownRevision`. */
  list({ knownRevision }: VmListOptions): Promise<VmListOutcome> {
    const vms = this.#visible;
    const revision = this.#revisions.get(vms) ?? "0";
    if (knownRevision === undefined) {
      return Promise.resolve({ kind: "list", vms });
    }
    if (knownRevision === revision) {
      return Promise.resolve({ kind: "unchanged" });
    }
    return Promise.resolve({ kind: "list", vms, revision });
  }

  /** The list without the lag. */
  listCurrent(): readonly VmRecord[] {
    return [...this.#current.values()];
  }

  #change(apply: () => void): void {
    apply();
    const snapshot = this.listCurrent();
    this.#revisions.set(snapshot, String(++this.#changeCount));
    if (this.lagMs <= 0) this.#visible = snapshot;
    else this.#clock.after(this.lagMs, () => (this.#visible = snapshot));
  }
}
