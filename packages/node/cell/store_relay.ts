/**
 * The store as an entry uses it: directly, and through a peer while the direct way fails. A call
 * that was refused or lost is repeated as it is; transactions are conditional, so that a repeated
 * one takes effect once. Its outcome is lost if any try may have taken effect. While the direct way
 * is down only a probe uses it, so that no call spends its time on a silent connection.
 */
import type { Clock, Random } from "@coltsfootpond/common";
import {
  type FollowOutcome,
  type HostPort,
  HttpClient,
  type HttpOutcome,
  STATE_TABLE,
  type StateReadOutcome,
  type StateStore,
  type TransactOutcome,
  type Unavailable,
} from "@coltsfootpond/ports";
import { Subject } from "rxjs";
import type { CellLog } from "./log.ts";
import {
  decodeMessage,
  encodeMessage,
  OPERATOR_ROWS_PATH,
  type OperatorRowsAnswer,
  type OperatorRowsCall,
  runStoreCall,
  STORE_CALL_PATH,
  type StoreCall,
  type StoreOutcome,
} from "./peer_messages.ts";
import { LEASE_KEY } from "./rows.ts";

/** How often the direct way is probed while it is down. */
export const DIRECT_PROBE_PERIOD_MS = 250;
/** A probe's time-out: the store at its slowest, see `STORE_TIMEOUT_MS`. */
const DIRECT_PROBE_TIMEOUT_MS = 500;
/** How long a peer is left alone after it did not answer, or could not reach the store either. */
const PEER_PAUSE_MS = 1_500;
/** Peers that one call tries. */
const PEERS_PER_CALL = 2;
/** Of a peer's time: the way to the peer and back. */
const PEER_SLACK_MS = 40;
/** Share of a call's time that the direct try may take; the rest is for peers. */
const DIRECT_SHARE = 0.7;
/** Less time than this is not worth another try. */
const LEAST_TRY_MS = 100;
/** How much longer than its time-out a peer's answer may take whose bytes keep coming. */
const SLOW_ANSWER_MS = 2_000;
const PEER_CONNECTIONS = 6;
const STATUS_OK = 200;

export interface StoreRelayOptions {
  readonly direct: StateStore;
  /** Addresses of the other entries. */
  readonly getPeers: () => readonly HostPort[];
  readonly clock: Clock;
  readonly random: Random;
  readonly log: CellLog;
}

/** A store that is reached directly or through peers. */
export class StoreRelay implements StateStore {
  readonly #options: StoreRelayOptions;
  readonly #clients = new Map<string, HttpClient>();
  readonly #pausedUntilMs = new Map<string, number>();
  /** Emits when the direct way is found down. */
  readonly #directLosses = new Subject<void>();
  #isDirectDown = false;
  #isClosed = false;
  #downSinceMs: number | undefined;
  #lastPeer: string | undefined;

  private constructor(options: StoreRelayOptions) {
    this.#options = options;
  }

  static create(options: StoreRelayOptions): StoreRelay {
    return new StoreRelay(options);
  }

  /** How long every way to the store has failed; 0 while one works. */
  get downForMs(): number {
    return this.#downSinceMs === undefined
      ? 0
      : this.#options.clock.nowMs() - this.#downSinceMs;
  }

  /** Whether calls go through peers. */
  get isDirectDown(): boolean {
    return this.#isDirectDown;
  }

  /** Rows of one peer's copy of the operators' table that are newer than a version. */
  async askOperatorRows(
    afterVersion: number,
    timeoutMs: number,
  ): Promise<OperatorRowsAnswer | Unavailable> {
    const [peer] = this.#choosePeers();
    if (peer === undefined) return refused("no peer");
    return decodeAnswer<OperatorRowsAnswer>(
      await this.#exchange(
        peer,
        OPERATOR_ROWS_PATH,
        { afterVersion },
        timeoutMs,
      ),
    );
  }

  /** Ends the probes of a direct way that is down. */
  close(): void {
    this.#isClosed = true;
  }

  async transact(
    ...call: Parameters<StateStore["transact"]>
  ): Promise<TransactOutcome> {
    return await this.#run(
      { kind: "transact", arguments: call },
      call[1],
    ) as TransactOutcome;
  }

  async read(
    ...call: Parameters<StateStore["read"]>
  ): Promise<StateReadOutcome> {
    return await this.#run(
      { kind: "read", arguments: call },
      call[2],
    ) as StateReadOutcome;
  }

  async follow(
    ...call: Parameters<StateStore["follow"]>
  ): Promise<FollowOutcome> {
    return await this.#run(
      { kind: "follow", arguments: call },
      call[3],
    ) as FollowOutcome;
  }

  async #run(call: StoreCall, timeoutMs: number): Promise<StoreOutcome> {
    const outcome = await this.#tryAll(call, timeoutMs);
    if (outcome.kind !== "unavailable") this.#downSinceMs = undefined;
    else this.#downSinceMs ??= this.#options.clock.nowMs();
    return outcome;
  }

  /** All tries together stay within the call's time-out. */
  async #tryAll(call: StoreCall, timeoutMs: number): Promise<StoreOutcome> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + timeoutMs;
    let failure: Unavailable | undefined;
    const hasPeers = this.#options.getPeers().length > 0;
    if (!this.#isDirectDown || !hasPeers) {
      const share = call.kind === "follow" || !hasPeers ? 1 : DIRECT_SHARE;
      const outcome = await this.#callDirect(
        withTimeout(call, timeoutMs * share),
      );
      if (outcome.kind !== "unavailable") return outcome;
      failure = outcome;
    }
    for (const peer of this.#choosePeers()) {
      const leftMs = untilMs - clock.nowMs();
      if (leftMs < LEAST_TRY_MS) break;
      const outcome = await this.#callPeer(peer, call, leftMs);
      if (outcome.kind !== "unavailable") return outcome;
      failure = merge(failure, outcome);
    }
    return failure ?? refused("the store cannot be reached");
  }

  /** A read or long poll ends as soon as another call finds the direct way down. */
  async #callDirect(call: StoreCall): Promise<StoreOutcome> {
    const own = runStoreCall(this.#options.direct, call);
    const outcome = call.kind === "transact"
      ? await own
      : await this.#untilDirectLost(own);
    this.#noteDirect(outcome.kind !== "unavailable");
    return outcome;
  }

  #untilDirectLost(own: Promise<StoreOutcome>): Promise<StoreOutcome> {
    return new Promise((resolve, reject) => {
      const losses = this.#directLosses.subscribe(() =>
        resolve(lost("the direct way to the store is down"))
      );
      own.then(resolve, reject).finally(() => losses.unsubscribe());
    });
  }

  #noteDirect(isUp: boolean): void {
    if (this.#isDirectDown !== isUp) return;
    this.#isDirectDown = !isUp;
    this.#options.log.info(
      isUp ? "store.direct_regained" : "store.direct_lost",
    );
    if (isUp) return;
    this.#directLosses.next();
    void this.#probeDirect();
  }

  /** Reads one row directly until that succeeds. */
  async #probeDirect(): Promise<void> {
    const { clock, direct } = this.#options;
    while (this.#isDirectDown && !this.#isClosed) {
      await clock.sleep(DIRECT_PROBE_PERIOD_MS);
      const outcome = await direct.read(
        STATE_TABLE.STATE,
        { fromKey: LEASE_KEY, toKey: `${LEASE_KEY}~` },
        DIRECT_PROBE_TIMEOUT_MS,
      );
      if (outcome.kind === "rows") this.#noteDirect(true);
    }
  }

  #choosePeers(): readonly HostPort[] {
    const nowMs = this.#options.clock.nowMs();
    const open = this.#options.getPeers().filter((peer) =>
      (this.#pausedUntilMs.get(formatPeer(peer)) ?? 0) <= nowMs
    ).map((peer) => ({
      peer,
      order: formatPeer(peer) === this.#lastPeer
        ? -1
        : this.#options.random.next(),
    }));
    open.sort((left, right) => left.order - right.order);
    return open.slice(0, PEERS_PER_CALL).map(({ peer }) => peer);
  }

  async #callPeer(
    peer: HostPort,
    call: StoreCall,
    timeoutMs: number,
  ): Promise<StoreOutcome> {
    const name = formatPeer(peer);
    const answer: StoreOutcome = decodeAnswer<StoreOutcome>(
      await this.#exchange(
        peer,
        STORE_CALL_PATH,
        withTimeout(call, timeoutMs - PEER_SLACK_MS),
        timeoutMs,
      ),
    );
    if (answer.kind === "unavailable") {
      const untilMs = this.#options.clock.nowMs() + PEER_PAUSE_MS;
      this.#pausedUntilMs.set(name, untilMs);
    } else {
      this.#lastPeer = name;
    }
    return answer;
  }

  #exchange(
    peer: HostPort,
    path: string,
    message: StoreCall | OperatorRowsCall,
    timeoutMs: number,
  ): Promise<HttpOutcome> {
    return this.#getClient(formatPeer(peer), peer).exchange({
      method: "POST",
      path,
      body: encodeMessage(message),
      timeoutMs,
      longestMs: timeoutMs + SLOW_ANSWER_MS,
    });
  }

  #getClient(name: string, peer: HostPort): HttpClient {
    const known = this.#clients.get(name);
    if (known !== undefined) return known;
    const created = HttpClient.create(peer, undefined, PEER_CONNECTIONS);
    this.#clients.set(name, created);
    return created;
  }
}

/** The same call with another time-out; a long poll's wait ends before it. */
function withTimeout(call: StoreCall, timeoutMs: number): StoreCall {
  switch (call.kind) {
    case "transact":
      return { ...call, arguments: [call.arguments[0], timeoutMs] };
    case "read":
      return {
        ...call,
        arguments: [call.arguments[0], call.arguments[1], timeoutMs],
      };
    case "follow": {
      const [table, afterVersion, longPollMs] = call.arguments;
      const shorterMs = Math.max(
        0,
        Math.min(longPollMs, timeoutMs - LEAST_TRY_MS),
      );
      return {
        ...call,
        arguments: [table, afterVersion, shorterMs, timeoutMs],
      };
    }
  }
}

function formatPeer({ host, port }: HostPort): string {
  return `${host}:${port}`;
}

function decodeAnswer<Answer>(outcome: HttpOutcome): Answer | Unavailable {
  if (outcome.kind === "unavailable") return outcome;
  if (outcome.status !== STATUS_OK) return lost(`status ${outcome.status}`);
  try {
    return decodeMessage<Answer>(outcome.body);
  } catch (error) {
    return lost(`malformed answer: ${String(error)}`);
  }
}

function refused(reason: string): Unavailable {
  return { kind: "unavailable", effect: "refused", reason };
}

function lost(reason: string): Unavailable {
  return { kind: "unavailable", effect: "lost", reason };
}

function merge(
  first: Unavailable | undefined,
  second: Unavailable,
): Unavailable {
  return first?.effect === "lost" ? first : second;
}
