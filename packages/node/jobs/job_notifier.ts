/**
 * Notifies the owners of failure domains of submitted and cancelled jobs. A notice is repeated over
 * the mesh. If it stays unacknowledged, the queue row of the failure domain is written: the owner
 * polls that row anyway, and reads all its jobs when the row has changed.
 */
import {
  brandId,
  type Clock,
  createUniqueId,
  type FailureDomainName,
  type JobId,
  type Timer,
  type WriteId,
} from "@coltsfootpond/common";
import type { TablePort } from "@coltsfootpond/ports";
import type { MeshDelivery } from "../mesh/messages.ts";
import { getQueueKey } from "../rows.ts";
import type { RowSnapshot, RowSubscription } from "../state/row_watcher.ts";
import type { Mesh, OwnershipView } from "../types.ts";
import type { JobNotice } from "./job_api.ts";

const REPEAT_MS = 1_000;
/** Number of sends over the mesh before the queue row is written instead. */
const MESH_TRIES = 2;
/**
 * While this many notices are pending, others are sent once and not repeated; the owner's periodic
 * audit finds their jobs.
 */
const MAXIMUM_PENDING = 10_000;
const TABLE_TIMEOUT_MS = 2_000;

export interface JobNotifierOptions {
  readonly clock: Clock;
  readonly table: TablePort;
  readonly mesh: Mesh;
  readonly ownership: OwnershipView;
  /** Passes a notice to this entry's scheduler; false when it does not own the failure domain. */
  readonly deliver: (notice: JobNotice) => boolean;
  /** Called when the queue row of an owned failure domain has changed. */
  readonly onQueueChanged: (failureDomain: FailureDomainName) => void;
  readonly listOwned: () => readonly FailureDomainName[];
}

interface PendingNotice {
  readonly notice: JobNotice;
  readonly tries: number;
}

/** Sends, repeats and receives notices, and watches the queue rows of owned failure domains. */
export class JobNotifier implements RowSubscription {
  readonly #options: JobNotifierOptions;
  readonly #pending = new Map<JobId, PendingNotice>();
  readonly #seenVersions = new Map<FailureDomainName, number>();
  #timer: Timer | undefined;

  private constructor(options: JobNotifierOptions) {
    this.#options = options;
  }

  static create(options: JobNotifierOptions): JobNotifier {
    return new JobNotifier(options);
  }

  start(): void {
    this.#timer = this.#options.clock.every(REPEAT_MS, () => this.#repeat());
  }

  stop(): void {
    this.#timer?.cancel();
  }

  /** Delivers a notice locally or sends it to the owner and keeps it for repeats. */
  post(notice: JobNotice): void {
    if (this.#options.deliver(notice)) return;
    this.#send(notice);
    if (this.#pending.size >= MAXIMUM_PENDING) return;
    this.#pending.set(notice.jobId, { notice, tries: 1 });
  }

  receive({ from, message }: MeshDelivery): void {
    switch (message.kind) {
      case "job_submitted":
      case "job_cancelled": {
        const { failureDomain, jobId } = message;
        const kind = message.kind === "job_submitted"
          ? "submitted"
          : "cancelled";
        if (!this.#options.deliver({ kind, failureDomain, jobId })) return;
        return this.#options.mesh.send(from, {
          kind: "notice_acknowledged",
          jobId,
        });
      }
      case "notice_acknowledged":
        this.#pending.delete(message.jobId);
        return;
      default:
        return;
    }
  }

  listKeys(): readonly string[] {
    return this.#options.listOwned().map(getQueueKey);
  }

  applySnapshot(snapshot: RowSnapshot): void {
    for (const failureDomain of this.#options.listOwned()) {
      const key = getQueueKey(failureDomain);
      if (!snapshot.has(key)) continue;
      const version = snapshot.get(key)?.version ?? 0;
      const seen = this.#seenVersions.get(failureDomain);
      this.#seenVersions.set(failureDomain, version);
      if (seen !== undefined && seen !== version) {
        this.#options.onQueueChanged(failureDomain);
      }
    }
  }

  #send({ kind, failureDomain, jobId }: JobNotice): void {
    const owner = this.#options.ownership.getOwner(failureDomain);
    if (owner === undefined) return;
    const message = kind === "submitted" ? "job_submitted" : "job_cancelled";
    this.#options.mesh.send(owner, { kind: message, failureDomain, jobId });
  }

  #repeat(): void {
    const unreached = new Set<FailureDomainName>();
    for (const [jobId, { notice, tries }] of [...this.#pending]) {
      if (this.#options.deliver(notice)) {
        this.#pending.delete(jobId);
        continue;
      }
      if (tries < MESH_TRIES) {
        this.#send(notice);
        this.#pending.set(jobId, { notice, tries: tries + 1 });
        continue;
      }
      unreached.add(notice.failureDomain);
    }
    for (const failureDomain of unreached) void this.#writeRow(failureDomain);
  }

  /**
   * Writes the queue row of a failure domain, once for all its pending notices. The owner compares
   * only the row's version, so any value will do.
   */
  async #writeRow(failureDomain: FailureDomainName): Promise<void> {
    const covered = [...this.#pending.values()].filter(({ notice }) =>
      notice.failureDomain === failureDomain
    );
    const writeId = brandId<WriteId>(createUniqueId());
    const key = getQueueKey(failureDomain);
    const outcome = await this.#options.table.transact({
      writeId,
      conditions: [],
      writes: [{ kind: "put", key, value: writeId }],
    }, { timeoutMs: TABLE_TIMEOUT_MS });
    if (outcome.kind !== "committed") return;
    for (const { notice } of covered) this.#pending.delete(notice.jobId);
  }
}
