/** Types for applying a configuration: declaration files, problems and outcomes. */
import type {
  Declarations,
  EntryName,
  ResultName,
} from "@coltsfootpond/common";
import type { ConfigurationHeadRow } from "../rows.ts";

/** One declaration file. */
export interface ConfigurationFile {
  readonly name: string;
  readonly text: string;
}

/** A problem in a set of declarations; without `fileName` it concerns the whole set. */
export interface ConfigurationProblem {
  readonly fileName?: string;
  readonly message: string;
}

/** The parsed declarations of a set of files, or every problem found. */
export type ParseOutcome =
  | { readonly kind: "valid"; readonly declarations: Declarations }
  | {
    readonly kind: "invalid";
    readonly problems: readonly ConfigurationProblem[];
  };

/** An operator's request to replace the whole configuration. */
export interface ApplyRequest {
  readonly files: readonly ConfigurationFile[];
  /** The version that the operator's change is based on; 0 for the first configuration. */
  readonly baseVersion: number;
}

/** The members on which a version is in force, and those on which it is not yet. */
export interface InForceReport {
  readonly version: number;
  readonly inForceEntries: readonly EntryName[];
  readonly missingEntries: readonly EntryName[];
}

/** The accepted head, or why nothing was changed. */
export type ApplyOutcome =
  | { readonly kind: "accepted"; readonly head: ConfigurationHeadRow }
  | {
    readonly kind: "refused";
    readonly resultName: ResultName;
    readonly problems: readonly ConfigurationProblem[];
    /** The conflicting head that was accepted before. */
    readonly winner?: ConfigurationHeadRow;
  };
