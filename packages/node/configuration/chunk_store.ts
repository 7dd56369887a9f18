/** Declaration files in the object store, each under the digest of its content. */
import { createId, type Digest } from "@coltsfootpond/common";
import { computeBackoffMs, type ObjectPort } from "@coltsfootpond/platform";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { STATE_CALL_TIMEOUT_MS } from "../constants.ts";
import type { ConfigurationChunk } from "../rows.ts";
import type { EntryContext } from "../types.ts";
import type { ConfigurationFile } from "./types.ts";

const CALL_OPTIONS = { timeoutMs: STATE_CALL_TIMEOUT_MS };
const MAXIMUM_ATTEMPTS = 3;
const BACKOFF = { baseMs: 100, maximumMs: 1_000 };

export type FetchOutcome =
  | { readonly kind: "fetched"; readonly files: readonly ConfigurationFile[] }
  | { readonly kind: "failed"; readonly reason: string };

export class ChunkStore {
  readonly #context: EntryContext;
  /** Texts of the chunks last fetched or stored; only changed chunks travel. */
  #texts = new Map<Digest, string>();

  private constructor(context: EntryContext) {
    this.#context = context;
  }

  static create(context: EntryContext): ChunkStore {
    return new ChunkStore(context);
  }

  /** Stores what is not known to be stored; undefined when the object store gave no answer. */
  async store(
    files: readonly ConfigurationFile[],
  ): Promise<readonly ConfigurationChunk[] | undefined> {
    const chunks: ConfigurationChunk[] = [];
    for (const file of files) {
      const digest = computeDigest(file.text);
      if (!this.#texts.has(digest)) {
        const content = Buffer.from(file.text, "utf8");
        const outcome = await this.#retry((objects) =>
          objects.put(getChunkKey(digest), content, CALL_OPTIONS)
        );
        if (outcome.kind === "unavailable") return undefined;
        this.#texts.set(digest, file.text);
      }
      chunks.push({ name: file.name, digest });
    }
    return chunks.sort((left, right) => left.name < right.name ? -1 : 1);
  }

  /** Fetches what is not kept, checks every digest, and keeps just these chunks. */
  async fetch(chunks: readonly ConfigurationChunk[]): Promise<FetchOutcome> {
    const texts = new Map<Digest, string>();
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
    return { kind: "fetched", files };
  }

  async #fetchText(digest: Digest): Promise<string | undefined> {
    const outcome = await this.#retry((objects) =>
      objects.get(getChunkKey(digest), CALL_OPTIONS)
    );
    if (outcome.kind !== "found") return undefined;
    const text = Buffer.from(outcome.content).toString("utf8");
    return computeDigest(text) === digest ? text : undefined;
  }

  /** Objects are stored under their digest, so every call may be repeated. */
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

/** The digest of a whole set: over the names and digests of its chunks in order of name. */
export function computeSetDigest(
  chunks: readonly ConfigurationChunk[],
): Digest {
  const lines = chunks.map(({ name, digest }) => `${name} ${digest}\n`);
  return computeDigest(lines.join(""));
}

function computeDigest(text: string): Digest {
  return createId<Digest>(createHash("sha256").update(text).digest("hex"));
}

function getChunkKey(digest: Digest): string {
  return `configuration/${digest}`;
}
