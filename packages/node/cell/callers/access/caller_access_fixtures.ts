/** One entry's filter chain over a store in memory, for tests that change the declared state. */
import { ManualClock } from "@coltsfootpond/common";
import type { CellJobId, QueueName } from "@coltsfootpond/policy";
import type { CallerCodec, DeclaredState } from "@coltsfootpond/ports";
import {
  createDeclaredState,
  createFollower,
  createQueue,
  createStoreFake,
  type StoreFake,
} from "../../test_fixtures.ts";
import {
  decodeRow,
  encodeRow,
  jobKey,
  type JobRow,
  refusalKey,
} from "../../rows.ts";
import type { TableFollower } from "../../table_follower.ts";
import { type CallerAnswer, createCallerFilters } from "../caller_filters.ts";
import { JobRepository } from "../job_repository.ts";

const HOST = "jobs.example";
/** Longer than the time between two reads of a job's row. */
const BETWEEN_CALLS_MS = 100;
const BODY = { spec: "text", steps: [{ count: 2 }] };

/** A queue with the prefix `/{name}/` unless another one is given. */
export interface QueueFields {
  readonly name: string;
  readonly prefix?: string;
  readonly isPublic?: boolean;
}

/** A declared state with these queues and the API keys of each organisation. */
export function declare(
  queues: readonly QueueFields[],
  keys: Readonly<Record<string, readonly string[]>>,
  version = 1,
): DeclaredState {
  const declarations = queues.map(({ name, prefix, isPublic }) =>
    createQueue({
      queue: name as QueueName,
      host: HOST,
      pathPrefix: prefix ?? `/${name}/`,
      isPublic: isPublic === true,
    })
  );
  return createDeclaredState(declarations, keys, version);
}

/** Calls of one entry. */
export class EntryFake {
  readonly store: StoreFake = createStoreFake();
  readonly #clock = ManualClock.create();
  readonly #codec: CallerCodec;
  readonly #follower: TableFollower;
  readonly #filters: ReturnType<typeof createCallerFilters>;
  /** The declared state in force. */
  state: DeclaredState;

  private constructor(codec: CallerCodec, state: DeclaredState) {
    this.#codec = codec;
    this.state = state;
    const clock = this.#clock;
    this.#follower = createFollower(this.store, clock);
    this.#filters = createCallerFilters({
      codec,
      admission: { check: () => Promise.resolve({ kind: "pass" }) },
      jobRepository: JobRepository.create({
        store: this.store,
        follower: this.#follower,
        clock,
        getStoreDownMs: () => 0,
        nowUnixMs: () => 0,
      }),
      getDeclaredState: () => this.state,
      findTooWide: () => undefined,
      nowUnixMs: () => 0,
      rowLimitBytes: 65_536,
    });
  }

  static create(codec: CallerCodec, state: DeclaredState): EntryFake {
    return new EntryFake(codec, state);
  }

  /** The answer to a call; without a key if none is given. */
  async call(
    method: "POST" | "GET" | "DELETE",
    path: string,
    key?: string,
  ): Promise<CallerAnswer> {
    await this.#clock.advance(BETWEEN_CALLS_MS);
    const request = {
      head: this.#codec.decodeHead(method, path, {
        host: HOST,
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
      }),
      receivedMs: this.#clock.nowMs(),
      readBody: () =>
        Promise.resolve(new TextEncoder().encode(JSON.stringify(BODY))),
    };
    for (const filter of this.#filters) {
      const answer = await filter.apply(request);
      if (answer !== undefined) return answer;
    }
    throw new Error("no answer");
  }

  /** The statuses of GET and DELETE, in this order. */
  async readAndCancel(
    path: string,
    key?: string,
  ): Promise<readonly [get: number, cancel: number]> {
    const { status } = await this.call("GET", path, key);
    return [status, (await this.call("DELETE", path, key)).status];
  }

  /** The job's stored row. */
  readRow(jobId: string): JobRow | undefined {
    const value = this.store.rows().get(jobKey(jobId as CellJobId))?.value;
    return value && decodeRow<JobRow>(value);
  }

  /** Replaces the job's row, as another process does, and follows the store. */
  async putRow(jobId: string, row: JobRow): Promise<void> {
    await this.#put(jobKey(jobId as CellJobId), encodeRow(row));
  }

  /** Marks the job's submissions as refused, as another entry does. */
  async putRefusal(jobId: string): Promise<void> {
    await this.#put(
      refusalKey(jobId as CellJobId),
      encodeRow({ kind: "refused", endedUnixMs: 0 }),
    );
  }

  async #put(key: string, value: Uint8Array): Promise<void> {
    const puts = [{ key, value }];
    await this.store.transact({ conditions: [], puts, deletes: [] }, 1);
    await this.#follower.reload(0);
  }
}
