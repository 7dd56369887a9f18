/**
 * Stores declaration files (chunks) and the list of them in the object store, each under the
 * SHA-256 digest of its content. `apply.ts` stores a set, the configuration controller fetches it.
 */
import { brandId, type Digest } from "@coltsfootpond/common";
import { computeBackoffMs, type ObjectPort } from "@coltsfootpond/ports";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { STATE_CALL_TIMEOUT_MS } from "../constants.ts";
import type { ConfigurationChunk } from "../rows.ts";
import type { EntryContext } from "../types.ts";
import type { ConfigurationFile } from "./types.ts";

const CALL_OPTIONS = { timeoutMs: STATE_CALL_TIMEOUT_MS };
const MAXIMUM_ATTEMPTS = 3;
const BACKOFF = { baseMs: 100, maximumMs: 1_000 };

/** A set's files and the list of its chunks; `reason` names the object that was not fetched. */
export type FetchOutcome =
  | {
    readonly kind: "fetched";
    readonly chunks: readonly ConfigurationChunk[];
    readonly files: readonly ConfigurationFile[];
  }
  | { readonly kind: "failed"; readonly reason: string };

/** Reads and writes declaration files in the object store, with a cache of one set. */
export class ChunkStore {
  readonly #context: EntryContext;
  /** Texts of the list and chunks last fetched or stored; only changed chunks are transferred. */
  #texts = new Map<Digest, string>();

  private constructor(context: EntryContext) {
    this.#context = context;
  }

  static create(context: EntryContext): ChunkStore {
    return new ChunkStore(context);
  }

  /**
   * Stores the files whose content is not in the cache, and the list of the files last. Returns the
   * digest of the list, or undefined when the object store is unavailable.
   */
  async store(
    files: readonly ConfigurationFile[],
  ): Promise<Digest | undefined> {
    const chunks: ConfigurationChunk[] = [];
    for (const { name, text } of files) {
      const digest = await this.#storeText(text);
      if (digest === undefined) return undefined;
      chunks.push({ name, digest });
    }
    return await this.#storeText(formatList(chunks));
  }

  async #storeText(text: string): Promise<Digest | undefined> {
    const digest = computeDigest(text);
    if (this.#texts.has(digest)) return digest;
    const content = Buffer.from(text, "utf8");
    const outcome = await this.#retry((objects) =>
      objects.put(getChunkKey(digest), content, CALL_OPTIONS)
    );
    if (outcome.kind === "unavailable") return undefined;
    this.#texts.set(digest, text);
    return digest;
  }

  /** Fetches what is not cached, checks its digests, and replaces the cache by this set. */
  async fetch(listDigest: Digest): Promise<FetchOutcome> {
    const list = this.#texts.get(listDigest) ??
      await this.#fetchText(listDigest);
    if (list === undefined) {
      return { kind: "failed", reason: "the list of chunks cannot be fetched" };
    }
    const chunks = parseList(list);
    const texts = new Map<Digest, string>([[listDigest, list]]);
    for (const { name, digest } of chunks) {
      const text = this.#texts.get(digest) ?? await this.#fetchText(digest);
      if (text === undefined) {
        return { kind: "failed", reason: `chunk ${name} cannot be fetched` };
      }
      texts.set(digest, text);
    }
    this.#texts = texts;
    const files = chunks.map(({ name, digest }) => ({
      name,
      text: texts.get(digest) ?? "",
    }));
    return { kind: "fetched", chunks, files };
  }

  async #fetchText(digest: Digest): Promise<string | undefined> {
    const outcome = await this.#retry((objects) =>
      objects.get(getChunkKey(digest), CALL_OPTIONS)
    );
    if (outcome.kind !== "found") return undefined;
    const text = Buffer.from(outcome.content).toString("utf8");
    return computeDigest(text) === digest ? text : undefined;
  }

  /** Every call may be repeated, because objects are stored under the digest of their content. */
  async #retry<Outcome extends { readonly kind: string }>(
    call: (objects: ObjectPort) => Promise<Outcome>,
  ): Promise<Outcome> {
    const { clock, random, platform } = this.#context;
    for (let attempt = 0;; attempt++) {
      const outcome = await call(platform.objects);
      const isLast = attempt + 1 >= MAXIMUM_ATTEMPTS;
      if (outcome.kind !== "unavailable" || isLast) return outcome;
      await clock.sleep(computeBackoffMs(random, attempt, BACKOFF));
    }
  }
}

/** Sorted by name, so the same set of files has the same list and digest in any order. */
function formatList(chunks: readonly ConfigurationChunk[]): string {
  const sorted = [...chunks].sort((left, right) =>
    left.name < right.name ? -1 : 1
  );
  return JSON.stringify(sorted.map(({ name, digest }) => ({ name, digest })));
}

/** Only for texts whose digest has been checked. */
function parseList(text: string): readonly ConfigurationChunk[] {
  return JSON.parse(text) as readonly ConfigurationChunk[];
}

function computeDigest(text: string): Digest {
  return brandId<Digest>(createHash("sha256").update(text).digest("hex"));
}

function getChunkKey(digest: Digest): string {
  return `configuration/${digest}`;
}
