/**
 * Sends changes of failure domains to the other entries and applies the changes that they send. A
 * change is repeated to every connected entry that has not acknowledged it.
 */
import type { EntryName, FailureDomainName } from "@coltsfootpond/common";
import {
  DOMAIN_ACKNOWLEDGE_TIMEOUT_MS,
  DOMAIN_REBROADCAST_PERIOD_MS,
} from "../constants.ts";
import type { Clock, Timer } from "@coltsfootpond/common";
import type { MeshDelivery, MeshMessage } from "../mesh/messages.ts";
import { FAILURE_DOMAIN_STATE } from "../rows.ts";
import type { FailureDomainStatus, Mesh } from "../types.ts";
import type { DomainRecordStore } from "./domain_record_store.ts";
import { PendingAcknowledgements } from "./pending_acknowledgements.ts";

export interface DomainAnnouncerOptions {
  readonly mesh: Mesh;
  readonly clock: Clock;
  readonly records: DomainRecordStore;
  /** Called for a received change that the sender marks as durable in the table service. */
  readonly onDurable: () => void;
}

export class DomainAnnouncer {
  readonly #options: DomainAnnouncerOptions;
  readonly #acknowledgements = PendingAcknowledgements.create();
  #timer: Timer | undefined;

  private constructor(options: DomainAnnouncerOptions) {
    this.#options = options;
    options.mesh.deliveries.subscribe((delivery) => this.#receive(delivery));
  }

  static create(options: DomainAnnouncerOptions): DomainAnnouncer {
    return new DomainAnnouncer(options);
  }

  start(): void {
    this.#timer = this.#options.clock.every(
      DOMAIN_REBROADCAST_PERIOD_MS,
      () => this.#repeat(),
    );
  }

  stop(): void {
    this.#timer?.cancel();
  }

  /** Broadcasts a new status; only acknowledgements of its version or a higher one count. */
  announce(status: FailureDomainStatus): void {
    this.#acknowledgements.expect(status.failureDomain, status.version);
    this.#options.mesh.broadcast({ kind: "domain_changed", ...status });
  }

  /** Entries that have acknowledged the newest announced version. */
  listAcknowledged(failureDomain: FailureDomainName): readonly EntryName[] {
    return [...this.#acknowledgements.list(failureDomain)].sort();
  }

  /**
   * Resolves when every connected entry has acknowledged the newest announced version, or after
   * `DOMAIN_ACKNOWLEDGE_TIMEOUT_MS`.
   */
  waitForAll(failureDomain: FailureDomainName): Promise<void> {
    const { mesh, clock } = this.#options;
    return this.#acknowledgements.waitFor(
      failureDomain,
      mesh.listConnected(),
      clock,
      DOMAIN_ACKNOWLEDGE_TIMEOUT_MS,
    );
  }

  #repeat(): void {
    const { records, mesh } = this.#options;
    for (const status of records.listProvisional()) {
      this.#acknowledgements.expect(status.failureDomain, status.version);
    }
    for (const failureDomain of this.#acknowledgements.listFailureDomains()) {
      const status = records.get(failureDomain);
      this.#acknowledgements.expect(failureDomain, status.version);
      const acknowledged = this.#acknowledgements.list(failureDomain);
      for (const entry of mesh.listConnected()) {
        if (acknowledged.has(entry)) continue;
        mesh.send(entry, { kind: "domain_changed", ...status });
      }
    }
  }

  /**
   * Sends all changed records to a peer whose records differ: the entry that made a change may have
   * stopped before every peer received it.
   */
  #sendIfDifferent(to: EntryName, factsDigest: number): void {
    const { records, mesh } = this.#options;
    if (factsDigest === records.computeDigest()) return;
    for (const status of records.listChanged()) {
      mesh.send(to, { kind: "domain_changed", ...status });
    }
  }

  #receive(delivery: MeshDelivery): void {
    const { message, from } = delivery;
    if (message.kind === "domain_acknowledged") {
      const { failureDomain, version } = message;
      return this.#acknowledgements.add(failureDomain, version, from);
    }
    if (message.kind === "heartbeat") {
      return this.#sendIfDifferent(from, message.factsDigest);
    }
    if (message.kind !== "domain_changed") return;
    const { failureDomain, state, version, provisional } = message;
    const { records, mesh, onDurable } = this.#options;
    records.merge(failureDomain, { state, version, provisional });
    if (!provisional) onDurable();
    mesh.send(from, createReply(message, records.get(failureDomain)));
  }
}

/**
 * Reply after the received status was merged. An acknowledgement if this entry has that status or a
 * stricter one, out under the same or a higher version; else this entry's status, which supersedes
 * the received one.
 */
function createReply(
  received: { readonly state: string; readonly version: number },
  present: FailureDomainStatus,
): MeshMessage {
  const { failureDomain, version, state } = present;
  const inForce = version === received.version && state === received.state;
  const stricter = version >= received.version &&
    state === FAILURE_DOMAIN_STATE.OUT;
  if (inForce || stricter) {
    return {
      kind: "domain_acknowledged",
      failureDomain,
      version: received.version,
    };
  }
  return { kind: "domain_changed", ...present };
}
