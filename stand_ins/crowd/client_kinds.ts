/**
 * What the clients of a crowd send. Each kind is a sequence of parts for one connection; a part is
 * sent once the connection takes more.
 */
import { Buffer } from "node:buffer";
import { nextInteger, type Random, type ValueOf } from "@coltsfootpond/common";

export const CLIENT_KIND = {
  /** Sound requests for the state of a job, sent ahead. */
  PIPELINED_REQUESTS: "pipelined_requests",
  /** Requests for the states of jobs that do not exist, sent ahead. */
  PIPELINED_LOOKUPS: "pipelined_lookups",
  /** Requests without any header, sent ahead. */
  BARE_REQUESTS: "bare_requests",
  /** Requests for a path that does not exist, sent ahead. */
  UNKNOWN_PATHS: "unknown_paths",
  /** Submissions of small sound jobs, sent ahead. */
  PIPELINED_JOBS: "pipelined_jobs",
  /** A body in chunks of one byte that stops short of its end. */
  SMALL_CHUNKS: "small_chunks",
  /** A body in chunks of 64 KiB that stops short of its end. */
  LARGE_CHUNKS: "large_chunks",
  /** A body that goes on beyond any limit. */
  ENDLESS_BODIES: "endless_bodies",
  /** A third of the connections stays silent, a third sends one byte, a third leaves. */
  PASSING_CONNECTIONS: "passing_connections",
  /** Line ends before a request that never begins. */
  BLANK_LINES: "blank_lines",
  /** One of the others for each connection. */
  MIX: "mix",
} as const;
export type ClientKind = ValueOf<typeof CLIENT_KIND>;
type SingleKind = Exclude<ClientKind, typeof CLIENT_KIND.MIX>;

export interface ClientOptions {
  /** Values of the headers `host` and `authorization`. */
  readonly authority: string;
  readonly authorization: string;
  /** Path of a job whose state can be read. */
  readonly statePath: string;
  /** Prefix to which jobs are submitted; 16 hexadecimal digits are appended. */
  readonly submitPrefix: string;
  /** Body of a sound job. */
  readonly jobBody: string;
  /** Length of the bodies that stop short. */
  readonly bodyBytes: number;
}

/** What one connection sends; it stays open afterwards unless `leaves` is set. */
export interface ClientPlan {
  readonly parts: Iterable<Buffer>;
  readonly leaves: boolean;
}

const LARGE_CHUNK_BYTES = 65_536;
/** Requests are joined to parts of about this length. */
const PART_BYTES = 65_536;
const SINGLE_KINDS = Object.values(CLIENT_KIND).filter(
  (kind): kind is SingleKind => kind !== CLIENT_KIND.MIX,
);

function* repeat(part: Buffer): Iterable<Buffer> {
  while (true) yield part;
}

function repeatText(text: string): Iterable<Buffer> {
  return repeat(Buffer.from(text.repeat(Math.ceil(PART_BYTES / text.length))));
}

function formatHead(
  method: string,
  path: string,
  { authority, authorization }: ClientOptions,
  headers: readonly string[] = [],
): string {
  return [
    `${method} ${path} HTTP/1.1`,
    `host: ${authority}`,
    `authorization: ${authorization}`,
    ...headers,
    "",
    "",
  ].join("\r\n");
}

function drawJobId(random: Random): string {
  return Array.from({ length: 16 }, () => nextInteger(random, 16).toString(16))
    .join("");
}

function* lookUpJobs(options: ClientOptions, random: Random): Iterable<Buffer> {
  while (true) {
    const path = options.submitPrefix + drawJobId(random);
    yield Buffer.from(formatHead("GET", path, options));
  }
}

function* submitJobs(options: ClientOptions, random: Random): Iterable<Buffer> {
  const { submitPrefix, jobBody } = options;
  const length = `content-length: ${Buffer.byteLength(jobBody)}`;
  while (true) {
    const path = submitPrefix + drawJobId(random);
    yield Buffer.from(formatHead("POST", path, options, [length]) + jobBody);
  }
}

function formatChunkedHead(options: ClientOptions, random: Random): Buffer {
  const path = options.submitPrefix + drawJobId(random);
  const coding = "transfer-encoding: chunked";
  return Buffer.from(formatHead("POST", path, options, [coding]));
}

/** A chunked body without its last chunk. */
function* sendChunks(
  options: ClientOptions,
  random: Random,
  chunkBytes: number,
): Iterable<Buffer> {
  yield formatChunkedHead(options, random);
  const chunk = `${chunkBytes.toString(16)}\r\n${" ".repeat(chunkBytes)}\r\n`;
  const perPart = Math.max(1, Math.floor(PART_BYTES / chunk.length));
  let chunksLeft = Math.floor(options.bodyBytes / chunkBytes);
  while (chunksLeft > 0) {
    const count = Math.min(chunksLeft, perPart);
    yield Buffer.from(chunk.repeat(count));
    chunksLeft -= count;
  }
}

function* sendEndlessBody(
  options: ClientOptions,
  random: Random,
): Iterable<Buffer> {
  yield formatChunkedHead(options, random);
  const size = LARGE_CHUNK_BYTES.toString(16);
  yield* repeat(
    Buffer.from(`${size}\r\n${" ".repeat(LARGE_CHUNK_BYTES)}\r\n`),
  );
}

function createPassingPlan(index: number): ClientPlan {
  switch (index % 3) {
    case 0:
      return { parts: [], leaves: false };
    case 1:
      return { parts: [Buffer.from("G")], leaves: false };
    default:
      return { parts: [], leaves: true };
  }
}

/** The plan of the connection with this index, which starts from 0. */
export function createClientPlan(
  kind: ClientKind,
  index: number,
  options: ClientOptions,
  random: Random,
): ClientPlan {
  const stay = (parts: Iterable<Buffer>) => ({ parts, leaves: false });
  switch (kind) {
    case CLIENT_KIND.PIPELINED_REQUESTS:
      return stay(repeatText(formatHead("GET", options.statePath, options)));
    case CLIENT_KIND.PIPELINED_LOOKUPS:
      return stay(lookUpJobs(options, random));
    case CLIENT_KIND.BARE_REQUESTS:
      return stay(repeatText("GET / HTTP/1.1\r\n\r\n"));
    case CLIENT_KIND.UNKNOWN_PATHS:
      return stay(
        repeatText(
          `GET /unknown HTTP/1.1\r\nhost: ${options.authority}\r\n\r\n`,
        ),
      );
    case CLIENT_KIND.PIPELINED_JOBS:
      return stay(submitJobs(options, random));
    case CLIENT_KIND.SMALL_CHUNKS:
      return stay(sendChunks(options, random, 1));
    case CLIENT_KIND.LARGE_CHUNKS:
      return stay(sendChunks(
        options,
        random,
        Math.min(LARGE_CHUNK_BYTES, options.bodyBytes),
      ));
    case CLIENT_KIND.ENDLESS_BODIES:
      return stay(sendEndlessBody(options, random));
    case CLIENT_KIND.PASSING_CONNECTIONS:
      return createPassingPlan(index);
    case CLIENT_KIND.BLANK_LINES:
      return stay(repeatText("\r\n"));
    case CLIENT_KIND.MIX: {
      const single = SINGLE_KINDS[nextInteger(random, SINGLE_KINDS.length)]!;
      return createClientPlan(single, index, options, random);
    }
  }
}
