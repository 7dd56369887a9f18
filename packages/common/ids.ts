/** Branded identifiers. A brand keeps one kind of name from being passed where another is meant. */

declare const brand: unique symbol;

/** A string that carries a compile-time brand. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

export type OrganisationName = Branded<"OrganisationName">;
export type ServiceName = Branded<"ServiceName">;
export type GuaranteeName = Branded<"GuaranteeName">;
export type FailureDomainName = Branded<"FailureDomainName">;
export type RegionName = Branded<"RegionName">;
export type RackName = Branded<"RackName">;
export type WorkerName = Branded<"WorkerName">;
export type RunnerName = Branded<"RunnerName">;
export type EntryName = Branded<"EntryName">;
/** One life of an entry's process; a restart takes a new one. */
export type Incarnation = Branded<"Incarnation">;
/** A caller's `Idempotency-Key`, or one made by the entry that took the request. */
export type RequestId = Branded<"RequestId">;
/** `{organisation}/{requestId}`: request ids are unique only within an organisation. */
export type JobId = Branded<"JobId">;
/** One try at running a request on an upstream, or a gang on workers. */
export type AttemptId = Branded<"AttemptId">;
/** Unique id of one table transaction, used to settle a write whose answer was lost. */
export type WriteId = Branded<"WriteId">;
/** Hex SHA-256 of some content. */
export type Digest = Branded<"Digest">;

/** The union of an object's values; constant objects stand in for enums. */
export type ValueOf<T> = T[keyof T];

/** Brands a string that has been checked or comes from a trusted source. */
export function brandId<Id extends Branded<string>>(text: string): Id {
  return text as Id;
}
