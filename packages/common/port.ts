/** Parsing of TCP port numbers. */

export const MAXIMUM_PORT = 65_535;

/** A port from 1 to 65,535; undefined for any other text. */
export function parsePort(text: string): number | undefined {
  const port = Number(text);
  const isValid = Number.isInteger(port) && port > 0 && port <= MAXIMUM_PORT;
  return isValid ? port : undefined;
}
