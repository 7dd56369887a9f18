/** Replies and entity tags of the operators' routes. */
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

/** Formats a version as a strong entity tag. */
export function formatEntityTag(version: number): string {
  return `"${version}"`;
}

/** Returns the version in an `If-Match` header; undefined when absent or malformed. */
export function parseEntityTag(header: string | undefined): number | undefined {
  const match = /^"(\d{1,15})"$/.exec(header?.trim() ?? "");
  return match === null ? undefined : Number(match[1]);
}
