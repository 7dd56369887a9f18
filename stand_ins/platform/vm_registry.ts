/** The list of VMs, shown to readers only after its lag has passed. */
import type { Clock } from "@coltsfootpond/common";
import type {
  VmListOptions,
  VmListOutcome,
  VmListPort,
  VmRecord,
} from "@coltsfootpond/ports";

export class VmRegistry implements VmListPort {
  readonly #clock: Clock;
  readonly #actual = new Map<string, VmRecord>();
  /** Revision of each snapshot. */
  readonly #revisions = new WeakMap<readonly VmRecord[], string>();
  #changes = 0;
  #shown: readonly VmRecord[] = [];
  lagMs = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): VmRegistry {
    return new VmRegistry(clock);
  }

  register(record: VmRecord): void {
    this.#change(() => this.#actual.set(record.name, record));
  }

  /** Marks a VM as leaving; the balancer knows at once, readers of the list after the lag. */
  leave(name: string): void {
    const record = this.#actual.get(name);
    if (record === undefined) return;
    this.#change(() => this.#actual.set(name, { ...record, state: "leaving" }));
  }

  remove(name: string): void {
    this.#change(() => this.#actual.delete(name));
  }

  list({ knownRevision }: VmListOptions): Promise<VmListOutcome> {
    const vms = this.#shown;
    const revision = this.#revisions.get(vms) ?? "0";
    if (knownRevision === undefined) {
      return Promise.resolve({ kind: "list", vms });
    }
    if (knownRevision === revision) {
      return Promise.resolve({ kind: "unchanged" });
    }
    return Promise.resolve({ kind: "list", vms, revision });
  }

  listActual(): readonly VmRecord[] {
    return [...this.#actual.values()];
  }

  #change(apply: () => void): void {
    apply();
    const snapshot = this.listActual();
    this.#revisions.set(snapshot, String(++this.#changes));
    if (this.lagMs <= 0) this.#shown = snapshot;
    else this.#clock.after(this.lagMs, () => (this.#shown = snapshot));
  }
}
