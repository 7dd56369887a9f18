import {
  brandId,
  ManualClock,
  type OrganisationName,
  type ServiceName,
} from "@coltsfootpond/common";
import { createCallerCodec } from "@coltsfootpond/platform";
import type { QueueName } from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";
import { expect } from "chai";
import fc from "fast-check";
import { type CallerAnswer, createCallerFilters } from "./caller_filters.ts";
import { JobRepository } from "./job_repository.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";

const INPUTS = 10_000;
const SEED = 20261204;
const HOST = "queue.example";
const PREFIX = "/queue/";
const KEY = "key";
const BODY_LIMIT_BYTES = 2_000;
/** Every status that the interface documents; a failure inside the chain would be 500. */
const STATUSES = [200, 400, 401, 404, 405, 410, 413, 429, 503, 504];
/** Last digit of the ids of jobs that admission refuses. */
const REFUSED_DIGIT = "5";
const RETRY_AFTER_S = 7;

const STATE: DeclaredState = {
  version: 1,
  queues: [{
    queue: brandId<QueueName>("queue"),
    service: brandId<ServiceName>("service"),
    host: HOST,
    pathPrefix: PREFIX,
    isPublic: false,
    requiresTicket: false,
    priority: 1,
    maximumAttempts: 3,
    stretch: 2,
    allowanceMs: 1_000,
    timeoutMs: 3_000,
  }],
  organisationByApiKey: new Map([[
    KEY,
    brandId<OrganisationName>("organisation"),
  ]]),
  guarantees: [],
  shares: [],
  services: new Set(),
  capacityEnforcingServices: new Set(),
  limits: {
    headerBytes: 8_192,
    bodyBytes: BODY_LIMIT_BYTES,
    headerTimeoutMs: 5_000,
    keepAliveMs: 5_000,
  },
};

interface Input {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly authorization: string;
  readonly deadline: string;
  readonly body: Uint8Array;
}

const VALID: Input = {
  method: "POST",
  path: `${PREFIX}00000000000000aa`,
  host: HOST,
  authorization: `Token ${KEY}`,
  deadline: "3000",
  body: encode({ spec: "text", steps: [{ count: 2 }] }),
};

function encode(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}

/** The valid value in four of five inputs, so that many reach the filters behind. */
function mostly<Value>(
  valid: Value,
  other: fc.Arbitrary<Value>,
): fc.Arbitrary<Value> {
  return fc.oneof(
    { weight: 4, arbitrary: fc.constant(valid) },
    { weight: 1, arbitrary: other },
  );
}

const INPUT: fc.Arbitrary<Input> = fc.record({
  method: fc.constantFrom("POST", "GET", "DELETE", "PUT", ""),
  path: fc.oneof(
    fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }).map((id) =>
      PREFIX + id.toString(16).padStart(16, "0")
    ),
    fc.constantFrom(VALID.path, PREFIX),
    fc.string().map((text) => PREFIX + text),
    fc.string(),
  ),
  host: mostly(HOST, fc.string()),
  authorization: mostly(VALID.authorization, fc.string()),
  deadline: mostly(VALID.deadline, fc.string()),
  body: mostly(
    VALID.body,
    fc.oneof(
      fc.uint8Array({ maxLength: 200 }),
      fc.constant(new Uint8Array(BODY_LIMIT_BYTES + 1)),
      fc.jsonValue().map(encode),
      fc.jsonValue().map((steps) => encode({ spec: "text", steps })),
    ),
  ),
});

function createCaller() {
  const clock = ManualClock.create();
  const store = createStoreFake();
  const codec = createCallerCodec();
  const filters = createCallerFilters({
    codec,
    admission: {
      check: ({ jobId }) =>
        Promise.resolve(
          jobId.endsWith(REFUSED_DIGIT)
            ? {
              kind: "refused_now",
              reason: "cannot end in time",
              retryAfterS: RETRY_AFTER_S,
            }
            : { kind: "pass" },
        ),
    },
    jobRepository: JobRepository.create({
      store,
      follower: createFollower(store, clock),
      clock,
      getStoreDownMs: () => 0,
      nowUnixMs: () => 0,
    }),
    getDeclaredState: () => STATE,
    findTooWide: () => undefined,
    nowUnixMs: () => 0,
    rowLimitBytes: 65_536,
  });
  return async (input: Input): Promise<CallerAnswer | undefined> => {
    const { method, path, host, authorization, deadline, body } = input;
    const headers = { host, authorization, "deadline-ms": deadline };
    const request = {
      head: codec.decodeHead(method, path, headers),
      receivedMs: clock.nowMs(),
      readBody: (limitBytes: number) =>
        Promise.resolve(body.byteLength <= limitBytes ? body : undefined),
    };
    for (const filter of filters) {
      const answer = await filter.apply(request);
      if (answer !== undefined) return answer;
    }
    return undefined;
  };
}

describe("callers' interface", () => {
  it("answers any request with a documented status, says what is wrong, and goes on", async () => {
    const call = createCaller();
    const seen = new Set<number>();
    await fc.assert(
      fc.asyncProperty(INPUT, async (input) => {
        const answer = await call(input);
        expect(answer?.status).to.be.oneOf(STATUSES);
        seen.add(answer!.status);
        expect(answer!.reason).to.not.equal("");
        if (answer!.status === 400) {
          expect(JSON.parse(answer!.body ?? "")).to.have.property("error")
            .that.is.not.empty;
        }
        if (answer!.status === 503) expect(answer!.retryAfterS).to.equal(1);
        if (answer!.status === 429) {
          expect(answer!.retryAfterS).to.equal(RETRY_AFTER_S);
        }
      }),
      { numRuns: INPUTS, seed: SEED },
    );
    expect([...seen]).to.include.members(
      [200, 400, 401, 404, 405, 410, 413, 429],
    );
    const path = `${PREFIX}00000000000000bb`;
    expect(await call({ ...VALID, path })).to.include({ status: 200 });
    expect(await call({ ...VALID, path, method: "GET" })).to.include({
      status: 200,
      body: `{"state":"queued"}`,
    });
  });
});
