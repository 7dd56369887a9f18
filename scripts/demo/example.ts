/** Reads the declarations that the demo applies. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import {
  type DeclarationFile,
  type Declarations,
  formatProblem,
  parseDeclarations,
} from "@coltsfootpond/common";
import type { Deployment } from "./options.ts";

export interface Example {
  readonly files: readonly DeclarationFile[];
  readonly declarations: Declarations;
}

/** Tokens of the examples; the declarations hold only their digests. */
export const OPERATOR_TOKEN = "example-token-operator";

export function getOrganisationToken(organisation: string): string {
  return `example-token-${organisation}`;
}

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
