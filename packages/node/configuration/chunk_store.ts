/** Declaration files in the object store, each under the digest of its content. */
import { createId, type Digest } from "@coltsfootpond/common";
import type { ObjectPort } from "@coltsfootpond/platform";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { STATE_CALL_TIMEOUT_MS } from "../constants.ts";
import type { ConfigurationChunk } from "../rows.ts";
import type { ConfigurationFile } from "./types.ts";

export type FetchOutcome =
  | { readonly kind: "fetched"; readonly files: readonly ConfigurationFile[] }
  | { readonly kind: "failed"; readonly reason: string };

export class ChunkStore {
  readonly #objects: ObjectPort;
  /** Texts of the chunks last fetched or stored; only changed chunks travel. */
  #texts = new Map<Digest, string>();

  private constructor(objects: ObjectPort) {
    this.#objects = objects;
  }

  static create(objects: ObjectPort): ChunkStore {
    return new ChunkStore(objects);
  }

  /** Stores what is not known to be stored; undefined when the object store gave no answer. */
  async store(
    files: readonly ConfigurationFile[],
  ): Promise<readonly ConfigurationChunk[] | undefined> {
    const chunks: ConfigurationChunk[] = [];
    for (const file of files) {
      const digest = computeDigest(file.text);
      if (!this.#texts.has(digest)) {
        const outcome = await this.#objects.put(
          getChunkKey(digest),
          Buffer.from(file.text, "utf8"),
          { timeoutMs: STATE_CALL_TIMEOUT_MS },
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
    const outcome = await this.#objects.get(getChunkKey(digest), {
      timeoutMs: STATE_CALL_TIMEOUT_MS,
    });
    if (outcome.kind !== "found") return undefined;
    const text = Buffer.from(outcome.content).toString("utf8");
    return computeDigest(text) === digest ? text : undefined;
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
