/** Collects a body in one buffer, so that small chunks take no more memory than their bytes. */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

const FIRST_CAPACITY_BYTES = 1_024;

/**
 * `whole`: the body; `too_long`: it exceeds the limit, and the rest was not read; `cut_off`: the
 * connection was closed before its end.
 */
export type BodyOutcome =
  | { readonly kind: "whole"; readonly body: Uint8Array }
  | { readonly kind: "too_long" }
  | { readonly kind: "cut_off" };

/** `reserve` is called before memory is taken; when it returns false the body is cut off. */
export function collectBody(
  incoming: IncomingMessage,
  limitBytes: number,
  reserve: (bytes: number) => boolean,
): Promise<BodyOutcome> {
  const declaredBytes = Number(incoming.headers["content-length"] ?? 0);
  if (declaredBytes > limitBytes) return Promise.resolve({ kind: "too_long" });
  return new Promise((resolve) => {
    let buffer = Buffer.alloc(0);
    let lengthBytes = 0;
    const finish = (outcome: BodyOutcome) => {
      incoming.off("data", append);
      resolve(outcome);
    };
    const append = (chunk: Buffer) => {
      const neededBytes = lengthBytes + chunk.byteLength;
      if (neededBytes > limitBytes) return finish({ kind: "too_long" });
      if (neededBytes > buffer.byteLength) {
        const grownBytes = growCapacity(
          buffer.byteLength,
          neededBytes,
          declaredBytes > 0 ? declaredBytes : limitBytes,
        );
        if (!reserve(grownBytes - buffer.byteLength)) {
          return finish({ kind: "cut_off" });
        }
        const grown = Buffer.allocUnsafeSlow(grownBytes);
        buffer.copy(grown, 0, 0, lengthBytes);
        buffer = grown;
      }
      chunk.copy(buffer, lengthBytes);
      lengthBytes = neededBytes;
    };
    incoming.on("data", append);
    incoming.once("end", () => {
      finish({ kind: "whole", body: buffer.subarray(0, lengthBytes) });
    });
    incoming.once("error", () => finish({ kind: "cut_off" }));
    incoming.once("close", () => finish({ kind: "cut_off" }));
  });
}

/** At least twice as much as before, so that bytes are copied a few times at most. */
function growCapacity(
  capacityBytes: number,
  neededBytes: number,
  longestBytes: number,
): number {
  const doubledBytes = Math.max(FIRST_CAPACITY_BYTES, 2 * capacityBytes);
  return Math.max(neededBytes, Math.min(doubledBytes, longestBytes));
}
