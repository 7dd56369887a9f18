/** Bearer tokens: hashed with SHA-256 and compared in constant time with the declared digests. */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type { Digest, OrganisationName } from "@coltsfootpond/common";
import type { ConfigurationView } from "../types.ts";

/** Who a bearer token belongs to. */
export type Caller =
  | { readonly kind: "organisation"; readonly organisation: OrganisationName }
  | { readonly kind: "operator" }
  | { readonly kind: "unknown" };

/** Names the caller behind an `Authorization` header. */
export type Authenticate = (authorization: string | undefined) => Caller;

/** Options of `createAuthenticate`. */
export interface AuthenticateOptions {
  readonly configuration: ConfigurationView;
  /** Operators who may apply the first configuration; unused once one has been accepted. */
  readonly bootstrapOperatorTokenDigests: readonly Digest[];
}

const BEARER_PATTERN = /^Bearer ([A-Za-z0-9._~+/=-]{1,512})$/i;
const UNKNOWN_CALLER: Caller = { kind: "unknown" };

/** Compares all of both values whatever they hold. */
function isEqualDigest(token: Buffer, declared: Digest): boolean {
  const expected = Buffer.from(declared, "hex");
  return expected.byteLength === token.byteLength &&
    timingSafeEqual(token, expected);
}

/** An `Authenticate` over the configuration in force. Every declared digest is compared each time. */
export function createAuthenticate(options: AuthenticateOptions): Authenticate {
  return (authorization) => {
    const token = BEARER_PATTERN.exec(authorization ?? "")?.[1];
    if (token === undefined) return UNKNOWN_CALLER;
    const digest = createHash("sha256").update(token).digest();
    const declarations = options.configuration.current()?.declarations;
    const operators = declarations?.operatorTokenDigests ??
      options.bootstrapOperatorTokenDigests;
    let caller = UNKNOWN_CALLER;
    for (const declared of operators) {
      if (isEqualDigest(digest, declared)) caller = { kind: "operator" };
    }
    for (const organisation of declarations?.organisations ?? []) {
      if (isEqualDigest(digest, organisation.tokenDigest)) {
        caller = { kind: "organisation", organisation: organisation.name };
      }
    }
    return caller;
  };
}
