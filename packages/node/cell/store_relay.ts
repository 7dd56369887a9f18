/**
 * The store as an entry uses it: over the direct path, and through a peer while that path fails. A
 * refused or lost call is repeated unchanged; transactions are conditional, so a repeated one takes
 * effect once. The outcome is `lost` if any try may have taken effect. While the direct path is
 * down and the entry has peers, only a probe uses it, so that no call waits on a silent connection.
 */
import type { Clock, Random } from "@coltsfootpond/common";
import {
  type FollowOutcome,
  type HostPort,
  refused,
  type StateReadOutcome,
  type StateStore,
  type TransactOutcome,
  type Unavailable,
} from "@coltsfootpond/ports";
import type { Observable } from "rxjs";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { settleCall } from "./background/guarded_ports.ts";
import { STORE_TIMEOUT_MS } from "./constants.ts";
import { DirectPath } from "./direct_path.ts";
import type { CellLog } from "./log.ts";
import {
  OPERATOR_ROWS_PATH,
  type OperatorRowsAnswer,
  STORE_CALL_PATH,
  type StoreCall,
  type StoreOutcome,
} from "./peer_messages.ts";
import { PeerClient } from "./peer_client.ts";
import {
  readOperatorRowsAnswer,
  readStoreOutcome,
} from "./peers/message_checks.ts";

/**
 * Most peers that one call tries within its time-out. Several, as peers that cannot reach the store
 * either refuse at once.
 */
const PEERS_PER_CALL = 6;
/** Deducted from the time-out that is sent to a peer, as time for the round trip to it. */
const PEER_ROUND_TRIP_MS = 40;
/**
 * Share of the time-out that a read or transaction may spend on the direct path; the rest is for
 * peers. A long poll may spend all of it.
 */
const DIRECT_SHARE = 0.7;
const MAXIMUM_DIRECT_MS = STORE_TIMEOUT_MS * DIRECT_SHARE;
/** With less time left than this, no further try is made. */
const MINIMUM_TRY_MS = 100;

export interface StoreRelayOptions {
  readonly direct: StateStore;
  /** Addresses of the other entries. */
  readonly getPeers: () => readonly HostPort[];
  readonly clock: Clock;
  readonly random: Random;
  readonly log: CellLog;
}

/** Relays store calls through peers while the direct path is down. */
export class StoreRelay implements StateStore {
  readonly #clock: Clock;
  readonly #log: CellLog;
  readonly #direct: DirectPath;
  readonly #peerClient: PeerClient;
  #downSinceMs: number | undefined;

  private constructor(options: StoreRelayOptions) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#direct = DirectPath.create({ ...options, store: options.direct });
    this.#peerClient = PeerClient.create(options);
  }

  static create(options: StoreRelayOptions): StoreRelay {
    return new StoreRelay(options);
  }

  /** How long all paths to the store have failed; 0 while one works. */
  get downForMs(): number {
    return this.#downSinceMs === undefined
      ? 0
      : this.#clock.nowMs() - this.#downSinceMs;
  }

  /** Whether calls are relayed through peers. */
  get isDirectDown(): boolean {
    return this.#direct.isDown;
  }

  /** Emits when calls begin to be relayed through peers. */
  get directLosses(): Observable<void> {
    return this.#direct.losses;
  }

  /** Stops the probes of a direct path that is down. */
  close(): void {
    this.#direct.close();
  }

  /** Rows of one peer's copy of the operators' table that are newer than a version. */
  async fetchOperatorRows(
    afterVersion: number,
    timeoutMs: number,
  ): Promise<OperatorRowsAnswer | Unavailable> {
    const [peer] = this.#peerClient.choosePeers(1);
    if (peer === undefined) return refused("no peer");
    const message = { afterVersion };
    return await this.#settle(() =>
      this.#peerClient.request(
        peer,
        OPERATOR_ROWS_PATH,
        message,
        readOperatorRowsAnswer,
        timeoutMs,
      )
    );
  }

  async transact(
    ...call: Parameters<StateStore["transact"]>
  ): Promise<TransactOutcome> {
    return await this.#callStore(
      { kind: "transact", arguments: call },
      call[1],
    ) as TransactOutcome;
  }

  async read(
    ...call: Parameters<StateStore["read"]>
  ): Promise<StateReadOutcome> {
    return await this.#callStore(
      { kind: "read", arguments: call },
      call[2],
    ) as StateReadOutcome;
  }

  async follow(
    ...call: Parameters<StateStore["follow"]>
  ): Promise<FollowOutcome> {
    return await this.#callStore(
      { kind: "follow", arguments: call },
      call[3],
    ) as FollowOutcome;
  }

  #settle<Answer>(
    call: () => Promise<Answer>,
  ): Promise<Answer | Unavailable> {
    return settleCall(this.#log, BACKGROUND_ACTIVITY.CALL_STORE, call);
  }

  async #callStore(call: StoreCall, timeoutMs: number): Promise<StoreOutcome> {
    const outcome = await this.#tryAll(call, timeoutMs);
    if (outcome.kind !== "unavailable") this.#downSinceMs = undefined;
    else this.#downSinceMs ??= this.#clock.nowMs();
    return outcome;
  }

  /** All tries together stay within the time-out; only a large answer may arrive later. */
  async #tryAll(call: StoreCall, timeoutMs: number): Promise<StoreOutcome> {
    const deadlineMs = this.#clock.nowMs() + timeoutMs;
    let failure: Unavailable | undefined;
    const hasPeers = !this.#peerClient.isEmpty;
    if (!this.#direct.isDown || !hasPeers) {
      const directMs = call.kind === "follow" || !hasPeers
        ? timeoutMs
        : Math.min(timeoutMs * DIRECT_SHARE, MAXIMUM_DIRECT_MS);
      const outcome = await this.#direct.call(withTimeout(call, directMs));
      if (outcome.kind !== "unavailable") return outcome;
      failure = outcome;
    }
    for (const peer of this.#peerClient.choosePeers(PEERS_PER_CALL)) {
      const remainingMs = deadlineMs - this.#clock.nowMs();
      if (remainingMs < MINIMUM_TRY_MS) break;
      const outcome = await this.#settle(() =>
        this.#peerClient.request<StoreOutcome>(
          peer,
          STORE_CALL_PATH,
          withTimeout(call, remainingMs - PEER_ROUND_TRIP_MS),
          (message) => readStoreOutcome(call.kind, message),
          remainingMs,
        )
      );
      if (outcome.kind !== "unavailable") return outcome;
      failure = combineFailures(failure, outcome);
    }
    return failure ?? refused("the store cannot be reached");
  }
}

/** The same call with another time-out. A long poll waits less, to end before the time-out. */
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
        Math.min(longPollMs, timeoutMs - MINIMUM_TRY_MS),
      );
      return {
        ...call,
        arguments: [table, afterVersion, shorterMs, timeoutMs],
      };
    }
  }
}

/** The later failure, or the first if that call may have taken effect. */
function combineFailures(
  first: Unavailable | undefined,
  second: Unavailable,
): Unavailable {
  return first?.effect === "lost" ? first : second;
}
