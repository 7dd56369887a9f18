/** Sends requests to peers, the other entries of the cell, and chooses which peers to ask. */
import type { Clock, Random } from "@coltsfootpond/common";
import {
  type HostPort,
  HttpClient,
  type HttpOutcome,
  LARGE_RESPONSE_EXTRA_MS,
  lost,
  type Unavailable,
} from "@coltsfootpond/ports";
import {
  decodeMessage,
  encodeMessage,
  type PeerMessage,
} from "./peer_messages.ts";

/** Time for which a peer is skipped after it did not answer or could not reach the store either. */
const PEER_BACKOFF_MS = 1_500;
/** Enough for two long polls and a few calls at the same time. */
const PEER_CONNECTIONS = 6;
const STATUS_OK = 200;

export interface PeerClientOptions {
  /** Addresses of the other entries. */
  readonly getPeers: () => readonly HostPort[];
  readonly clock: Clock;
  readonly random: Random;
}

/** HTTP clients of all peers, with the peers that failed recently. */
export class PeerClient {
  readonly #options: PeerClientOptions;
  readonly #clients = new Map<string, HttpClient>();
  readonly #backoffUntilMs = new Map<string, number>();
  #lastAnswering: string | undefined;

  private constructor(options: PeerClientOptions) {
    this.#options = options;
  }

  static create(options: PeerClientOptions): PeerClient {
    return new PeerClient(options);
  }

  /** Whether there are no peers. */
  get isEmpty(): boolean {
    return this.#options.getPeers().length === 0;
  }

  /**
   * Up to `count` peers that are not skipped: the last one that answered first, the others in
   * random order.
   */
  choosePeers(count: number): readonly HostPort[] {
    const nowMs = this.#options.clock.nowMs();
    const available = this.#options.getPeers().filter((peer) =>
      (this.#backoffUntilMs.get(formatPeer(peer)) ?? 0) <= nowMs
    ).map((peer) => ({
      peer,
      order: formatPeer(peer) === this.#lastAnswering
        ? -1
        : this.#options.random.next(),
    }));
    available.sort((left, right) => left.order - right.order);
    return available.slice(0, count).map(({ peer }) => peer);
  }

  /**
   * Sends one request. A peer that fails to answer it is skipped for PEER_BACKOFF_MS; so is one with
   * an answer for which `readAnswer` returns undefined. One whose connections have gone silent is
   * not: the next request shows over a new connection whether the peer answers.
   */
  async request<Answer extends object>(
    peer: HostPort,
    path: string,
    message: PeerMessage,
    readAnswer: (message: unknown) => Answer | Unavailable | undefined,
    timeoutMs: number,
  ): Promise<Answer | Unavailable> {
    const name = formatPeer(peer);
    const outcome = await this.#getClient(name, peer).exchange({
      method: "POST",
      path,
      body: await encodeMessage(message),
      timeoutMs,
      totalTimeoutMs: timeoutMs + LARGE_RESPONSE_EXTRA_MS,
    });
    const answer = await decodeAnswer(outcome, readAnswer);
    if ("kind" in answer && answer.kind === "unavailable") {
      if (answer.isSilent) {
        // Another peer may answer sooner.
        if (this.#lastAnswering === name) this.#lastAnswering = undefined;
        return answer;
      }
      const backoffUntilMs = this.#options.clock.nowMs() + PEER_BACKOFF_MS;
      this.#backoffUntilMs.set(name, backoffUntilMs);
    } else {
      this.#lastAnswering = name;
    }
    return answer;
  }

  #getClient(name: string, peer: HostPort): HttpClient {
    const known = this.#clients.get(name);
    if (known !== undefined) return known;
    const created = HttpClient.create(peer, undefined, PEER_CONNECTIONS);
    this.#clients.set(name, created);
    return created;
  }
}

function formatPeer({ host, port }: HostPort): string {
  return `${host}:${port}`;
}

/** The call may have taken effect if its answer cannot be read. */
async function decodeAnswer<Answer>(
  outcome: HttpOutcome,
  readAnswer: (message: unknown) => Answer | Unavailable | undefined,
): Promise<Answer | Unavailable> {
  if (outcome.kind === "unavailable") return outcome;
  if (outcome.status !== STATUS_OK) return lost(`status ${outcome.status}`);
  try {
    const message = await decodeMessage(outcome.body);
    return readAnswer(message) ?? lost("malformed answer");
  } catch (error) {
    return lost(`malformed answer: ${String(error)}`);
  }
}
