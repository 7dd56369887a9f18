/** Digests of request and answer bodies. */
import { createHash } from "node:crypto";
import { brandId, type Digest } from "@coltsfootpond/common";

/** Hex SHA-256 of a body. */
export function digestBody(body: Uint8Array): Digest {
  return brandId<Digest>(createHash("sha256").update(body).digest("hex"));
}
