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

/** A 128-bit random id in hex, for incarnations, attempts and write ids. */
export function createUniqueId(): string {
  return randomBytes(16).toString("hex");
}

/** A uniform integer in [0, bound). */
export function nextInteger(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}
