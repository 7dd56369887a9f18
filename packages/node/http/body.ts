/** Reads the complete body of a request, up to a limit. */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { CodedError } from "@coltsfootpond/common";

const EMPTY_BODY = new Uint8Array(0);

/** Rejects with `BODY_TOO_LARGE`, or with `MALFORMED` when the body ended early. */
export function readBody(
  incoming: IncomingMessage,
  maximumBytes: number,
): Promise<Uint8Array> {
  const declared = incoming.headers["content-length"];
  const chunked = incoming.headers["transfer-encoding"] !== undefined;
  if (!chunked && (declared === undefined || declared === "0")) {
    incoming.resume();
    return Promise.resolve(EMPTY_BODY);
  }
  if (Number(declared ?? 0) > maximumBytes) {
    return Promise.reject(CodedError.create("BODY_TOO_LARGE"));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let lengthBytes = 0;
    incoming.on("data", (chunk: Buffer) => {
      lengthBytes += chunk.byteLength;
      if (lengthBytes > maximumBytes) {
        incoming.removeAllListeners("data");
        reject(CodedError.create("BODY_TOO_LARGE"));
        return;
      }
      chunks.push(chunk);
    });
    incoming.once("end", () => resolve(Buffer.concat(chunks, lengthBytes)));
    const rejectIfIncomplete = (): void => {
      if (!incoming.complete) reject(CodedError.create("MALFORMED"));
    };
    incoming.once("error", rejectIfIncomplete);
    incoming.once("close", rejectIfIncomplete);
  });
}
