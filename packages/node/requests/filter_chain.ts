/** Chains filters into one handler; the types check that each filter gets the request it needs. */
import type { RequestOutcome } from "./types.ts";

/** Processes a request and resolves with its outcome. */
export type Handler<In> = (request: In) => Promise<RequestOutcome>;

/** One step of the chain: refuses the request, or passes an extended one to `next`. */
export interface RequestFilter<In, Out> {
  readonly name: string;
  handle(request: In, next: Handler<Out>): Promise<RequestOutcome>;
}

/** Builds a chain; the first filter added is the first to receive a request. */
export class FilterChain<In, Out> {
  readonly #wrap: (handler: Handler<Out>) => Handler<In>;
  readonly names: readonly string[];

  private constructor(
    wrap: (handler: Handler<Out>) => Handler<In>,
    names: readonly string[],
  ) {
    this.#wrap = wrap;
    this.names = names;
  }

  static create<First>(): FilterChain<First, First> {
    return new FilterChain<First, First>((handler) => handler, []);
  }

  use<Next>(filter: RequestFilter<Out, Next>): FilterChain<In, Next> {
    return new FilterChain<In, Next>(
      (handler) => this.#wrap((request) => filter.handle(request, handler)),
      [...this.names, filter.name],
    );
  }

  /** Returns the whole chain, with `handler` as its last step. */
  end(handler: Handler<Out>): Handler<In> {
    return this.#wrap(handler);
  }
}
