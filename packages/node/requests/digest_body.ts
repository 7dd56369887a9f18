/** Digests of request and answer bodies. */
import { createHash } from "node:crypto";
import { createId, type Digest } from "@coltsfootpond/common";

/** Hex SHA-256 of a body. */
export function digestBody(body: Uint8Array): Digest {
  return createId<Digest>(createHash("sha256").update(body).digest("hex"));
}
