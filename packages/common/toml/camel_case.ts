/** Converts snake_case keys of validated TOML to the camelCase fields of the TypeScript types. */

type CamelKey<Key> = Key extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelKey<Tail>>}`
  : Key;

/** A type with its keys in camelCase, at every depth. */
export type CamelCased<T> = T extends string | number | boolean | undefined ? T
  : T extends readonly (infer Item)[] ? readonly CamelCased<Item>[]
  : { readonly [Key in keyof T as CamelKey<Key & string>]: CamelCased<T[Key]> };

function toCamelKey(key: string): string {
  return key.replace(
    /_([a-z])/g,
    (_match, letter: string) => letter.toUpperCase(),
  );
}

/** Copies a value, with its keys in camelCase at every depth. */
export function toCamelCase<T>(value: T): CamelCased<T> {
  return convert(value) as CamelCased<T>;
}

function convert(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(convert);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map((
      [key, item],
    ) => [toCamelKey(key), convert(item)]),
  );
}
