/** Raw bytes over a socket, for tests of the HTTP server. */
import { connect, type Socket } from "node:net";

/**
 * Sends raw bytes and returns all that comes back until the connection closes, `endMs` passes, or,
 * with `endsOnReply`, something has come back.
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
