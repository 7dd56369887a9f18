/** Seedable random numbers, injected wherever a decision is randomised. */
import { randomBytes } from "node:crypto";

/** Uniform random numbers in [0, 1). */
export interface Random {
  next(): number;
}

const UINT32_RANGE = 4_294_967_296;

/** Deterministic generator for tests, scenarios and benches. Algorithm: mulberry32. */
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

/** The process's own generator. */
export const SYSTEM_RANDOM: Random = { next: () => Math.random() };

const UNIQUE_ID_BYTES = 16;
const POOLED_IDS = 256;

/** Random bytes drawn ahead, so that not every id costs a call of the system's generator. */
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

/** Exponentially distributed with the given mean, as gaps between arrivals are. */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}
