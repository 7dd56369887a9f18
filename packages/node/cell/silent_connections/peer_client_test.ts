import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type Clock, SystemClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { PeerClient } from "../peer_client.ts";
import { encodeMessage } from "../peer_messages.ts";

const HOST = "127.0.0.1";
const CONNECTIONS = 6;
const TIMEOUT_MS = 1_000;
const SHORT_TIMEOUT_MS = 120;
const ANSWER = { isAnswer: true };

/** A peer that answers every request, except over connections that have gone silent. */
async function createPeer() {
  const answer = await encodeMessage({ afterVersion: 1 });
  const open = new Set<Socket>();
  const silent = new WeakSet<Socket>();
  const state = { isAway: false };
  const server = createServer((incoming, outgoing) => {
    incoming.resume();
    const isUnanswered = state.isAway || silent.has(incoming.socket);
    if (!isUnanswered) outgoing.end(answer);
  });
  server.on("connection", (socket: Socket) => open.add(socket));
  await new Promise<void>((done) => server.listen(0, HOST, done));
  return {
    host: HOST,
    port: (server.address() as AddressInfo).port,
    state,
    goSilent: () => open.forEach((socket) => silent.add(socket)),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

describe("a peer the open connections to which have gone silent", () => {
  let peer: Awaited<ReturnType<typeof createPeer>>;
  const clock: Clock = SystemClock.create();

  beforeEach(async () => void (peer = await createPeer()));
  afterEach(() => peer.close());

  function createClient() {
    const client = PeerClient.create({
      getPeers: () => [peer],
      clock,
      random: { next: () => 0 },
    });
    const request = (timeoutMs: number) =>
      client.request(
        peer,
        "/",
        { afterVersion: 1 },
        () => ANSWER,
        timeoutMs,
      );
    return { client, request };
  }

  // Guards against a peer that is skipped, and then tried over the next silent connection, until no
  // old one is left.
  it("is asked again at once, over a new connection", async () => {
    const { client, request } = createClient();
    const requests = Array.from(
      { length: CONNECTIONS },
      () => request(TIMEOUT_MS),
    );
    await Promise.all(requests);
    for (let round = 0; round < 2; round++) {
      peer.goSilent();
      expect(await request(SHORT_TIMEOUT_MS)).to.include({ isSilent: true });
      expect(client.choosePeers(1)).to.deep.equal([peer]);
      expect(await request(TIMEOUT_MS)).to.equal(ANSWER);
    }
  });

  it("is skipped when it answers over no new one either", async () => {
    const { client, request } = createClient();
    await request(TIMEOUT_MS);
    peer.state.isAway = true;
    expect(await request(SHORT_TIMEOUT_MS)).to.include({ isSilent: true });
    expect(client.choosePeers(1)).to.deep.equal([peer]);
    expect(await request(SHORT_TIMEOUT_MS)).not.to.have.property("isSilent");
    expect(client.choosePeers(1)).to.deep.equal([]);
  });
});
