/** What the live jobs of a failure domain are given by its runner. */
import type { AttemptId, JobId } from "@coltsfootpond/common";
import type { TablePort } from "@coltsfootpond/ports";
import type { PlacementEngine } from "@coltsfootpond/policy";
import type { ConfigurationView, EntryContext, OwnedDomain } from "../types.ts";
import type { FleetCommander } from "./gang_start.ts";
import type { JobRecorder } from "./job_recorder.ts";
import type { StoredJob } from "./job_rows.ts";

/** A waiting job that may be better off in another failure domain. */
export interface MoveCandidate {
  readonly stored: StoredJob;
  /** How long it has waited in this failure domain. */
  readonly waitedHereMs: number;
}

export interface LiveJobsOptions {
  readonly context: EntryContext;
  readonly holding: OwnedDomain;
  readonly table: TablePort;
  readonly engine: PlacementEngine;
  readonly configuration: ConfigurationView;
  readonly commander: FleetCommander;
  readonly recorder: JobRecorder;
  readonly isHeld: () => boolean;
  readonly isDomainIn: () => boolean;
  /** Gives a waiting job a home elsewhere where that is better; true when it has moved. */
  readonly moveAway: (move: MoveCandidate) => Promise<boolean>;
  /** The engine has heard something new. */
  readonly onChanged: () => void;
  readonly onEnded: (jobId: JobId) => void;
  readonly onAttemptSettled: (attemptId: AttemptId) => void;
}
