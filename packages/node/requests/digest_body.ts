/** Digests of request and answer bodies, which identify resends and check stored answers. */
import { createHash } from "node:crypto";
import { brandId, type Digest } from "@coltsfootpond/common";

/** Returns the SHA-256 of a body in hexadecimal. */
export function digestBody(body: Uint8Array): Digest {
  return brandId<Digest>(createHash("sha256").update(body).digest("hex"));
}
