/** Parsing of TCP port numbers. */

export const MAXIMUM_PORT = 65_535;

/** Whether a connection can be opened to the port. */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAXIMUM_PORT;
}

/** A port from 1 to 65,535 in decimal digits; undefined for any other text. */
export function parsePort(text: string): number | undefined {
  const port = Number(text);
  return isPort(port) && String(port) === text ? port : undefined;
}
