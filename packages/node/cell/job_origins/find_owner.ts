/** Finds the organisation that a stored job belongs to, by what is declared now. */
import type { OrganisationName } from "@coltsfootpond/common";
import type { JobOrigin } from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";
import { findOrganisationByTag } from "./origin_tags.ts";

type Organisations = Pick<DeclaredState, "organisationByApiKey" | "shares">;

const declaredNames = new WeakMap<
  Organisations,
  ReadonlySet<OrganisationName>
>();

/**
 * The organisation under which the job was submitted, or if that is declared no more, the one that
 * now has the key of the submission. Undefined if neither is declared, or for a job that was
 * submitted without a key.
 */
export function findOwner(
  state: Organisations,
  { organisation, keyTag }: Pick<JobOrigin, "organisation" | "keyTag">,
): OrganisationName | undefined {
  if (organisation === undefined || listDeclared(state).has(organisation)) {
    return organisation;
  }
  return keyTag === undefined
    ? undefined
    : findOrganisationByTag(state, keyTag);
}

/** Also an organisation without a key is declared. */
function listDeclared(state: Organisations): ReadonlySet<OrganisationName> {
  let names = declaredNames.get(state);
  if (names === undefined) {
    names = new Set([
      ...state.shares.map(({ organisation }) => organisation),
      ...state.organisationByApiKey.values(),
    ]);
    declaredNames.set(state, names);
  }
  return names;
}
