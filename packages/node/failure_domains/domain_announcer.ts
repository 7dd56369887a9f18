/**
 * Makes changes of failure domains known to the other entries. A change is repeated to every
 * connected entry that has not acknowledged it.
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
  readonly facts: DomainRecordStore;
  /** Called for a change that a peer says is in the table service. */
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

  /** Sends the present status to all; earlier acknowledgements of lower versions are dropped. */
  announce(status: FailureDomainStatus): void {
    this.#acknowledgements.expect(status.failureDomain, status.version);
    this.#options.mesh.broadcast({ kind: "domain_changed", ...status });
  }

  listAcknowledged(failureDomain: FailureDomainName): readonly EntryName[] {
    return [...this.#acknowledgements.list(failureDomain)].sort();
  }

  /** Resolves when every connected entry has acknowledged, or after a bounded time. */
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
    const { facts, mesh } = this.#options;
    for (const status of facts.listProvisional()) {
      this.#acknowledgements.expect(status.failureDomain, status.version);
    }
    for (const failureDomain of this.#acknowledgements.listFailureDomains()) {
      const status = facts.get(failureDomain);
      this.#acknowledgements.expect(failureDomain, status.version);
      const acknowledged = this.#acknowledgements.list(failureDomain);
      for (const entry of mesh.listConnected()) {
        if (acknowledged.has(entry)) continue;
        mesh.send(entry, { kind: "domain_changed", ...status });
      }
    }
  }

  /** Whoever made a change may be gone; each entry passes on what a peer does not hold. */
  #tellWhatDiffers(to: EntryName, factsDigest: number): void {
    const { facts, mesh } = this.#options;
    if (factsDigest === facts.computeDigest()) return;
    for (const status of facts.listChanged()) {
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
      return this.#tellWhatDiffers(from, message.factsDigest);
    }
    if (message.kind !== "domain_changed") return;
    const { failureDomain, state, version, provisional } = message;
    const { facts, mesh, onDurable } = this.#options;
    facts.merge(failureDomain, { state, version, provisional });
    if (!provisional) onDurable();
    mesh.send(from, createReply(message, facts.get(failureDomain)));
  }
}

/** An acknowledgement, or what this entry knows better. */
function createReply(
  heard: { readonly state: string; readonly version: number },
  present: FailureDomainStatus,
): MeshMessage {
  const { failureDomain, version, state } = present;
  const inForce = version === heard.version && state === heard.state;
  const stricter = version >= heard.version &&
    state === FAILURE_DOMAIN_STATE.OUT;
  if (inForce || stricter) {
    return {
      kind: "domain_acknowledged",
      failureDomain,
      version: heard.version,
    };
  }
  return { kind: "domain_changed", ...present };
}
