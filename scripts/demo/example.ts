/** Reads the example declarations in `examples/`, which the demo and the recovery bench apply. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import {
  type DeclarationFile,
  type Declarations,
  formatProblem,
  parseDeclarations,
} from "@coltsfootpond/common";
import type { Deployment } from "./options.ts";

/** The declaration files of one example, as text and parsed. */
export interface Example {
  readonly files: readonly DeclarationFile[];
  readonly declarations: Declarations;
}

/** The operators' token in the examples; the declarations contain only its digest. */
export const OPERATOR_TOKEN = "example-token-operator";

/** Token of an organisation in the examples; the declarations contain only its digest. */
export function getOrganisationToken(organisation: string): string {
  return `example-token-${organisation}`;
}

/** Throws with all problems when the declarations are invalid. */
export function readExample(deployment: Deployment): Example {
  const directory = join("examples", deployment);
  const files = readdirSync(directory).sort().map((name) => ({
    name,
    text: readFileSync(join(directory, name), "utf8"),
  }));
  const outcome = parseDeclarations(files);
  if (outcome.kind === "invalid") {
    throw new Error(outcome.problems.map(formatProblem).join("\n"));
  }
  return { files, declarations: outcome.declarations };
}
