/** Types of the HTTP resources of an entry, which the server serves from a list of routes. */
import type { OrganisationName, ValueOf } from "@coltsfootpond/common";

/** Callers that may use a resource. */
export const ACCESS = {
  PUBLIC: "public",
  OPERATOR: "operator",
  ORGANISATION: "organisation",
} as const;
export type Access = ValueOf<typeof ACCESS>;

/** One request whose complete body was read within the limit. */
export interface HttpExchange {
  readonly method: string;
  readonly path: string;
  /** Values of `{name}` parts of the pattern. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly receivedMs: number;
  /** Aborts when the caller's connection closes. */
  readonly signal: AbortSignal;
  /** Set when the resource's access is `organisation`. */
  readonly organisation?: OrganisationName;
}

/** A complete reply; the server adds `Content-Length`. */
export interface HttpReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A resource: `pattern` such as `/v1/requests/{requestId}`. */
export interface Route {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly pattern: string;
  readonly access: Access;
  handle(exchange: HttpExchange): Promise<HttpReply>;
}
