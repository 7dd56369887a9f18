/** Replies of the operators' resources. */
import { Buffer } from "node:buffer";
import type { HttpReply } from "../http/types.ts";

export function createJsonReply(
  content: object,
  headers: Readonly<Record<string, string>> = {},
  status = 200,
): HttpReply {
  return {
    status,
    headers: { "content-type": "application/json", ...headers },
    body: Buffer.from(JSON.stringify(content)),
  };
}

export function createTextReply(
  content: string,
  contentType: string,
  status = 200,
): HttpReply {
  return {
    status,
    headers: { "content-type": contentType },
    body: Buffer.from(content),
  };
}

/** The entity tag of a configuration version, a strong one. */
export function formatEntityTag(version: number): string {
  return `"${version}"`;
}

/** The version in an `If-Match` header; undefined when absent or of another form. */
export function parseEntityTag(header: string | undefined): number | undefined {
  const match = /^"(\d{1,15})"$/.exec(header?.trim() ?? "");
  return match === null ? undefined : Number(match[1]);
}
