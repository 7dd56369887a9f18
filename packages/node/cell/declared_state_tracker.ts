/**
 * The declared state in force on this entry, and the failure domains that are out of service. The
 * version in force never decreases during the lifetime of the process.
 */
import type {
  FailureDomainName,
  OrganisationName,
} from "@coltsfootpond/common";
import type {
  DeclaredState,
  QueueDeclaration,
  RecordDecoder,
  StateRow,
} from "@coltsfootpond/ports";
import { Subject } from "rxjs";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { runInBackground } from "./background/run_in_background.ts";
import type { CellLog } from "./log.ts";
import type { TableFollower } from "./table_follower.ts";

export interface DeclaredStateTrackerOptions {
  readonly follower: TableFollower;
  readonly recordDecoder: RecordDecoder;
  readonly log: CellLog;
}

/** Applies the rows of the operators' table. */
export class DeclaredStateTracker {
  /** Emits after each change. */
  readonly changes = new Subject<void>();
  readonly #options: DeclaredStateTrackerOptions;
  #current: DeclaredState | undefined;
  readonly #domainsOut = new Set<FailureDomainName>();

  private constructor(options: DeclaredStateTrackerOptions) {
    this.#options = options;
    options.follower.onChanged(
      BACKGROUND_ACTIVITY.APPLY_DECLARED_STATE,
      (rows) => this.#applyRows(rows),
    );
  }

  static create(options: DeclaredStateTrackerOptions): DeclaredStateTracker {
    return new DeclaredStateTracker(options);
  }

  /** The declared state in force; undefined until one has been read. */
  get current(): DeclaredState | undefined {
    return this.#current;
  }

  /** Whether the failure domain is out of service. */
  isOut(failureDomain: FailureDomainName): boolean {
    return this.#domainsOut.has(failureDomain);
  }

  #applyRows(rows: readonly StateRow[]): void {
    for (const row of rows) {
      const { log } = this.#options;
      runInBackground(
        log,
        BACKGROUND_ACTIVITY.APPLY_DECLARED_STATE,
        () => this.#applyRow(row),
        { key: row.key },
      );
    }
    this.changes.next();
  }

  #applyRow(row: StateRow): void {
    const { recordDecoder, log } = this.#options;
    const kind = recordDecoder.classifyOperatorRow(row.key);
    switch (kind.kind) {
      case "declared_state":
        if (row.value !== undefined) this.#applyState(row.value, row.version);
        return;
      case "domain_out":
        if (row.value === undefined) {
          this.#domainsOut.delete(kind.failureDomain);
        } else {
          this.#domainsOut.add(kind.failureDomain);
        }
        log.info("failure_domain.changed", {
          failureDomain: kind.failureDomain,
          isOut: row.value !== undefined,
        });
        return;
      case "other":
        return;
    }
  }

  #applyState(value: Uint8Array, rowVersion: number): void {
    const { recordDecoder, log } = this.#options;
    const state = recordDecoder.decodeDeclaredState(value);
    if (state === undefined) {
      log.warn("declared_state.unreadable", { rowVersion });
      return;
    }
    if (state.version < (this.#current?.version ?? 0)) {
      log.warn("declared_state.older", {
        version: state.version,
        inForce: this.#current?.version,
      });
      return;
    }
    this.#current = state;
    log.info("declared_state.in_force", { version: state.version, rowVersion });
  }
}

/** The queue with the longest matching path prefix; undefined when none matches. */
export function findQueue(
  state: DeclaredState,
  host: string,
  path: string,
): QueueDeclaration | undefined {
  let best: QueueDeclaration | undefined;
  for (const queue of state.queues) {
    const isMatch = queue.host.toLowerCase() === host &&
      path.startsWith(queue.pathPrefix);
    const length = best?.pathPrefix.length ?? -1;
    if (isMatch && queue.pathPrefix.length > length) best = queue;
  }
  return best;
}

/** The organisation of an API key; undefined for an unknown key. */
export function findOrganisation(
  state: DeclaredState,
  key: string | undefined,
): OrganisationName | undefined {
  return key === undefined ? undefined : state.organisationByApiKey.get(key);
}
