/** Finds the blank line that ends the head of a request, also across parts of the stream. */
import type { Buffer } from "node:buffer";

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Keeps what the end of the last part was; the parser also takes a bare line feed as blank line. */
export class HeadEndFinder {
  /** Bytes at the end of the last part: a line feed, or one with a carriage return after it. */
  #tail: "none" | "line_feed" | "carriage_return" = "none";

  private constructor() {}

  static create(): HeadEndFinder {
    return new HeadEndFinder();
  }

  /** Length up to the end of the first blank line; undefined when the part has none. */
  find(part: Buffer): number | undefined {
    const length = this.#findInside(part);
    this.#tail = length === undefined ? this.#readTail(part) : "none";
    return length;
  }

  #findInside(part: Buffer): number | undefined {
    const isAfterLine = this.#tail !== "none";
    if (isAfterLine && part[0] === LINE_FEED) return 1;
    const isBlank = this.#tail === "line_feed" &&
      part[0] === CARRIAGE_RETURN && part[1] === LINE_FEED;
    if (isBlank) return 2;
    let index = part.indexOf(LINE_FEED);
    while (index >= 0) {
      const next = part[index + 1];
      if (next === LINE_FEED) return index + 2;
      if (next === CARRIAGE_RETURN && part[index + 2] === LINE_FEED) {
        return index + 3;
      }
      index = part.indexOf(LINE_FEED, index + 1);
    }
    return undefined;
  }

  #readTail(part: Buffer): "none" | "line_feed" | "carriage_return" {
    const last = part.at(-1);
    if (last === LINE_FEED) return "line_feed";
    if (last !== CARRIAGE_RETURN) return "none";
    const isAfterLine = part.byteLength > 1
      ? part.at(-2) === LINE_FEED
      : this.#tail === "line_feed";
    return isAfterLine ? "carriage_return" : "none";
  }
}
