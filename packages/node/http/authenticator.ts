/**
 * Authenticates bearer tokens: hashes them with SHA-256 and compares them in constant time with the
 * declared digests.
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type {
  Declarations,
  Digest,
  OrganisationName,
} from "@coltsfootpond/common";
import type { ConfigurationView } from "../types.ts";

/** The caller that a bearer token identifies. */
export type Caller =
  | { readonly kind: "organisation"; readonly organisation: OrganisationName }
  | { readonly kind: "operator" }
  | { readonly kind: "unknown" };

/** Returns the caller of an `Authorization` header; `unknown` when it is absent or not valid. */
export type Authenticate = (authorization: string | undefined) => Caller;

export interface AuthenticateOptions {
  readonly configuration: ConfigurationView;
  /** Digests of operators who may apply the first configuration; unused once one is in force. */
  readonly bootstrapOperatorTokenDigests: readonly Digest[];
}

/** The digest of a declared token and the caller that it identifies. */
interface Credential {
  readonly digest: Buffer;
  readonly caller: Caller;
}

const BEARER_PATTERN = /^Bearer ([A-Za-z0-9._~+/=-]{1,512})$/i;
const UNKNOWN_CALLER: Caller = { kind: "unknown" };

function createOperatorCredentials(digests: readonly Digest[]): Credential[] {
  return digests.map((digest) => ({
    digest: Buffer.from(digest, "hex"),
    caller: { kind: "operator" },
  }));
}

function createCredentials(declarations: Declarations): readonly Credential[] {
  const organisations = declarations.organisations.map((declared) => ({
    digest: Buffer.from(declared.tokenDigest, "hex"),
    caller: { kind: "organisation", organisation: declared.name } as const,
  }));
  const operators = createOperatorCredentials(
    declarations.operatorTokenDigests,
  );
  return [...operators, ...organisations];
}

/** Compares with every credential, so that the time does not depend on which one matches. */
function findCaller(
  presentedDigest: Buffer,
  credentials: readonly Credential[],
): Caller {
  let found = UNKNOWN_CALLER;
  for (const { digest, caller } of credentials) {
    const matches = digest.byteLength === presentedDigest.byteLength &&
      timingSafeEqual(presentedDigest, digest);
    if (matches) found = caller;
  }
  return found;
}

/** Returns an `Authenticate` over the configuration in force. */
export function createAuthenticate(options: AuthenticateOptions): Authenticate {
  const bootstrap = createOperatorCredentials(
    options.bootstrapOperatorTokenDigests,
  );
  const credentialsCache = new WeakMap<Declarations, readonly Credential[]>();

  function getCredentials(): readonly Credential[] {
    const declarations = options.configuration.current()?.declarations;
    if (declarations === undefined) return bootstrap;
    let credentials = credentialsCache.get(declarations);
    if (credentials === undefined) {
      credentials = createCredentials(declarations);
      credentialsCache.set(declarations, credentials);
    }
    return credentials;
  }

  return (authorization) => {
    const token = BEARER_PATTERN.exec(authorization ?? "")?.[1];
    if (token === undefined) return UNKNOWN_CALLER;
    const digest = createHash("sha256").update(token).digest();
    return findCaller(digest, getCredentials());
  };
}
