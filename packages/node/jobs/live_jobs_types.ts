/** Options of `LiveJobs`, supplied by the scheduler of its failure domain. */
import type { AttemptId, JobId } from "@coltsfootpond/common";
import type { TablePort } from "@coltsfootpond/ports";
import type { PlacementEngine } from "@coltsfootpond/policy";
import type { ConfigurationView, EntryContext, OwnedDomain } from "../types.ts";
import type { FleetCommander } from "./gang_start.ts";
import type { JobRecorder } from "./job_recorder.ts";
import type { StoredJob } from "./job_rows.ts";

/** A waiting job that may start sooner in another failure domain. */
export interface MoveCandidate {
  readonly stored: StoredJob;
  /** How long it has waited in this failure domain. */
  readonly waitedHereMs: number;
}

export interface LiveJobsOptions {
  readonly context: EntryContext;
  readonly owned: OwnedDomain;
  readonly table: TablePort;
  readonly engine: PlacementEngine;
  readonly configuration: ConfigurationView;
  readonly commander: FleetCommander;
  readonly recorder: JobRecorder;
  readonly isOwned: () => boolean;
  readonly isDomainIn: () => boolean;
  /** Moves a waiting job to another failure domain where that is better; true when it has moved. */
  readonly moveAway: (move: MoveCandidate) => Promise<boolean>;
  /** An event was applied to the engine, so new decisions may be due. */
  readonly onChanged: () => void;
  readonly onEnded: (jobId: JobId) => void;
  readonly onAttemptEnded: (attemptId: AttemptId) => void;
}
