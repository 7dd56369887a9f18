/** Joins filters into one handler; the types make sure that each gets what it needs. */
import type { RequestOutcome } from "./types.ts";

/** Takes a request to its outcome. */
export type Handler<In> = (request: In) => Promise<RequestOutcome>;

/** One step of the chain: refuses, or hands a richer request to the next step. */
export interface RequestFilter<In, Out> {
  readonly name: string;
  handle(request: In, next: Handler<Out>): Promise<RequestOutcome>;
}

/** Builds a chain from its outermost filter inwards. */
export class FilterChain<In, Out> {
  readonly #wrap: (last: Handler<Out>) => Handler<In>;
  readonly names: readonly string[];

  private constructor(
    wrap: (last: Handler<Out>) => Handler<In>,
    names: readonly string[],
  ) {
    this.#wrap = wrap;
    this.names = names;
  }

  static create<First>(): FilterChain<First, First> {
    return new FilterChain<First, First>((last) => last, []);
  }

  through<Next>(filter: RequestFilter<Out, Next>): FilterChain<In, Next> {
    return new FilterChain<In, Next>(
      (last) => this.#wrap((request) => filter.handle(request, last)),
      [...this.names, filter.name],
    );
  }

  /** The whole chain; `last` makes the outcome. */
  end(last: Handler<Out>): Handler<In> {
    return this.#wrap(last);
  }
}
