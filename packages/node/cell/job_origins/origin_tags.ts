/**
 * Short digests that are stored with jobs: a job's row then says by which key and at which address
 * it was submitted, also when the key has moved to another organisation, or the queue has another
 * name.
 */
import { createHash } from "node:crypto";
import type { OrganisationName } from "@coltsfootpond/common";
import type { DeclaredState, QueueDeclaration } from "@coltsfootpond/ports";

/**
 * Only what is declared is compared, so a caller can't choose a key that collides, and 64 bits tell
 * the keys and the queues of any deployment apart.
 */
const TAG_BYTES = 8;

type Keys = DeclaredState["organisationByApiKey"];

type Address = Pick<QueueDeclaration, "host" | "pathPrefix">;

const addressTags = new WeakMap<Address, string>();
const organisationsByTag = new WeakMap<
  Keys,
  ReadonlyMap<string, OrganisationName>
>();

export function computeKeyTag(key: string): string {
  return computeTag(key);
}

/** Of the host and the path prefix at which the queue is called. */
export function computeAddressTag(address: Address): string {
  let tag = addressTags.get(address);
  if (tag === undefined) {
    const { host, pathPrefix } = address;
    tag = computeTag(JSON.stringify([host.toLowerCase(), pathPrefix]));
    addressTags.set(address, tag);
  }
  return tag;
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

function computeTag(text: string): string {
  return createHash("sha256").update(text).digest()
    .subarray(0, TAG_BYTES).toString("base64url");
}
