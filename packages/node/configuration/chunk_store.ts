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
  | {
    readonly kind: "fetched";
    readonly chunks: readonly ConfigurationChunk[];
    readonly files: readonly ConfigurationFile[];
  }
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

  /**
   * Stores what is not known to be stored, the manifest last. Undefined when the object store gave
   * no answer.
   */
  async store(
    files: readonly ConfigurationFile[],
  ): Promise<Digest | undefined> {
    const chunks = files.map(({ name, text }) => ({
      name,
      digest: computeDigest(text),
    }));
    const stored = await Promise.all(
      files.map(({ text }) => this.#storeText(text)),
    );
    if (!stored.every((isStored) => isStored)) return undefined;
    const manifest = formatManifest(chunks);
    const isStored = await this.#storeText(manifest);
    return isStored ? computeDigest(manifest) : undefined;
  }

  /** Fetches what is not kept, checks every digest, and keeps just this set. */
  async fetch(manifestDigest: Digest): Promise<FetchOutcome> {
    const manifest = await this.#getText(manifestDigest);
    if (manifest === undefined) {
      return { kind: "failed", reason: "the manifest cannot be fetched" };
    }
    const chunks = parseManifest(manifest);
    const texts = new Map([[manifestDigest, manifest]]);
    await Promise.all(chunks.map(async ({ digest }) => {
      const text = await this.#getText(digest);
      if (text !== undefined) texts.set(digest, text);
    }));
    const missing = chunks.find(({ digest }) => !texts.has(digest));
    if (missing !== undefined) {
      const reason = `chunk ${missing.name} cannot be fetched`;
      return { kind: "failed", reason };
    }
    this.#texts = texts;
    const files = chunks.map(({ name, digest }) => ({
      name,
      text: texts.get(digest) ?? "",
    }));
    return { kind: "fetched", chunks, files };
  }

  async #storeText(text: string): Promise<boolean> {
    const digest = computeDigest(text);
    if (this.#texts.has(digest)) return true;
    const content = Buffer.from(text, "utf8");
    const outcome = await this.#retry((objects) =>
      objects.put(getChunkKey(digest), content, CALL_OPTIONS)
    );
    if (outcome.kind === "unavailable") return false;
    this.#texts.set(digest, text);
    return true;
  }

  async #getText(digest: Digest): Promise<string | undefined> {
    return this.#texts.get(digest) ?? await this.#fetchText(digest);
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

/** One line a file, digest first, in order of name: equal sets have equal manifests. */
function formatManifest(chunks: readonly ConfigurationChunk[]): string {
  return [...chunks]
    .sort((left, right) => left.name < right.name ? -1 : 1)
    .map(({ name, digest }) => `${digest} ${name}\n`)
    .join("");
}

function parseManifest(manifest: string): readonly ConfigurationChunk[] {
  return manifest.split("\n").filter((line) => line !== "").map((line) => {
    const end = line.indexOf(" ");
    const digest = createId<Digest>(line.slice(0, end));
    return { name: line.slice(end + 1), digest };
  });
}

function computeDigest(text: string): Digest {
  return createId<Digest>(createHash("sha256").update(text).digest("hex"));
}

function getChunkKey(digest: Digest): string {
  return `configuration/${digest}`;
}
