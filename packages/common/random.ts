/** Random numbers, injected wherever a decision is randomised so that tests can seed them. */
import { randomBytes } from "node:crypto";

/** Uniform random numbers in [0, 1). */
export interface Random {
  next(): number;
}

const UINT32_RANGE = 4_294_967_296;

/** Deterministic generator (mulberry32) for tests, scenarios and benchmarks. */
export class SeededRandom implements Random {
  #state: number;

  private constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  static create(seed: number): SeededRandom {
    return new SeededRandom(seed);
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }
}

/** The generator of the JavaScript engine, seeded by the process. */
export const SYSTEM_RANDOM: Random = { next: () => Math.random() };

const UNIQUE_ID_BYTES = 16;
const POOLED_IDS = 256;

/** Random bytes for many ids, drawn at once to call the system's generator less often. */
let pool = randomBytes(UNIQUE_ID_BYTES * POOLED_IDS);
let poolOffset = 0;

/** A 128-bit random id in hex, for incarnations, attempts and write ids. */
export function createUniqueId(): string {
  if (poolOffset === pool.byteLength) {
    pool = randomBytes(UNIQUE_ID_BYTES * POOLED_IDS);
    poolOffset = 0;
  }
  const end = poolOffset + UNIQUE_ID_BYTES;
  const id = pool.toString("hex", poolOffset, end);
  poolOffset = end;
  return id;
}

/** A uniform integer in [0, bound). */
export function nextInteger(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}

/** An exponentially distributed number with the given mean, such as a time between arrivals. */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}
