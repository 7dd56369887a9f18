/**
 * Short digests of API keys, which are stored with jobs: a job's row then says by which key it was
 * submitted, also when that key has moved to another organisation.
 */
import { createHash } from "node:crypto";
import type { OrganisationName } from "@coltsfootpond/common";
import type { DeclaredState } from "@coltsfootpond/ports";

/**
 * Only declared keys are compared, so a caller can't choose one that collides, and 64 bits tell the
 * keys of any deployment apart.
 */
const TAG_BYTES = 8;

type Keys = DeclaredState["organisationByApiKey"];

const organisationsByTag = new WeakMap<
  Keys,
  ReadonlyMap<string, OrganisationName>
>();

export function computeKeyTag(key: string): string {
  return createHash("sha256").update(key).digest()
    .subarray(0, TAG_BYTES).toString("base64url");
}

/** The organisation whose key has the tag; undefined if the key is not declared. */
export function findOrganisationByTag(
  { organisationByApiKey }: Pick<DeclaredState, "organisationByApiKey">,
  tag: string,
): OrganisationName | undefined {
  let organisations = organisationsByTag.get(organisationByApiKey);
  if (organisations === undefined) {
    organisations = new Map(
      [...organisationByApiKey].map(([key, organisation]) => [
        computeKeyTag(key),
        organisation,
      ]),
    );
    organisationsByTag.set(organisationByApiKey, organisations);
  }
  return organisations.get(tag);
}
