/** Test helper that sends raw bytes to an HTTP server. */
import { connect, type Socket } from "node:net";

/**
 * Sends raw bytes and resolves with everything received until the connection closes, `endMs` has
 * passed, or, with `endsOnReply`, the first bytes were received.
 */
export function exchangeRaw(
  port: number,
  bytes: string | Uint8Array,
  endMs = 300,
  endsOnReply = false,
): Promise<string> {
  return new Promise((resolve) => {
    const socket: Socket = connect(port, "127.0.0.1");
    let received = "";
    const finish = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(received);
    };
    const timer = setTimeout(finish, endMs);
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      if (endsOnReply) finish();
    });
    socket.on("error", finish);
    socket.on("close", finish);
    socket.write(bytes);
  });
}
