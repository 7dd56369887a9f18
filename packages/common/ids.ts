/** Branded identifiers: a brand stops the compiler from accepting one kind of name for another. */

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
/** Address of a worker to which a connection can be opened, as `host:port`. */
export type WorkerAddress = Branded<"WorkerAddress">;
export type RunnerName = Branded<"RunnerName">;
export type EntryName = Branded<"EntryName">;
/** Identifies one process lifetime of an entry; every start creates a new one. */
export type Incarnation = Branded<"Incarnation">;
/** A caller's `Idempotency-Key`, or an id created by the entry that received the request. */
export type RequestId = Branded<"RequestId">;
/** `{organisation}/{requestId}`: request ids are unique only within an organisation. */
export type JobId = Branded<"JobId">;
/** One attempt at a request on an upstream, or at a gang on workers. */
export type AttemptId = Branded<"AttemptId">;
/** Unique id of one table transaction; shows whether a write whose answer was lost took effect. */
export type WriteId = Branded<"WriteId">;
/** Hex SHA-256 of some content. */
export type Digest = Branded<"Digest">;

/** The union of an object's values; constant objects are used instead of enums. */
export type ValueOf<T> = T[keyof T];

/** Casts a string that has been validated, or comes from a trusted source, to a branded type. */
export function brandId<Id extends Branded<string>>(text: string): Id {
  return text as Id;
}
