/** Types of the configuration's face to operators. */
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

/** Something wrong with a set of declarations. */
export interface ConfigurationProblem {
  readonly fileName?: string;
  readonly message: string;
}

export type ParseOutcome =
  | { readonly kind: "valid"; readonly declarations: Declarations }
  | {
    readonly kind: "invalid";
    readonly problems: readonly ConfigurationProblem[];
  };

export interface ApplyRequest {
  readonly files: readonly ConfigurationFile[];
  /** The version that the operator started from; 0 for the first. */
  readonly baseVersion: number;
}

/** On which live members a version is in force. */
export interface InForceReport {
  readonly version: number;
  readonly inForceEntries: readonly EntryName[];
  readonly missingEntries: readonly EntryName[];
}

export type ApplyOutcome =
  | { readonly kind: "accepted"; readonly head: ConfigurationHeadRow }
  | {
    readonly kind: "refused";
    readonly resultName: ResultName;
    readonly problems: readonly ConfigurationProblem[];
    /** The accepted configuration that was there first. */
    readonly winner?: ConfigurationHeadRow;
  };
