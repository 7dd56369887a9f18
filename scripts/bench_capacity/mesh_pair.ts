/** Two mesh tasks with one real link on the loopback, in this process. */
import {
  brandId,
  type EntryName,
  type FailureDomainName,
  type Incarnation,
  ManualClock,
  type RegionName,
} from "@coltsfootpond/common";
import { firstValueFrom } from "rxjs";
import { MeshNetwork } from "../../packages/node/mesh/mesh_network.ts";
import { HEARTBEAT } from "./message_sizes.ts";

const HOST = "127.0.0.1";
const SETTLE_MS = 5;

/** The clock stands still, so that only the bench's own messages travel. */
export class MeshPair {
  readonly #first: MeshNetwork;
  readonly #second: MeshNetwork;

  private constructor(first: MeshNetwork, second: MeshNetwork) {
    this.#first = first;
    this.#second = second;
  }

  static async create(): Promise<MeshPair> {
    const first = createTask("entry-1");
    const second = createTask("entry-2");
    await first.start();
    await second.start();
    first.setPeers([{
      entry: brandId<EntryName>("entry-2"),
      host: HOST,
      port: second.port,
    }]);
    const pair = new MeshPair(first, second);
    while (!pair.#isConnected()) await sleep();
    await sleep();
    return pair;
  }

  /**
   * Sends messages back and forth until each side has sent and received `count / 2`, so that the
   * time of both sides is that of `count` messages sent and received by one.
   */
  async exchange(count: number): Promise<void> {
    const entry = brandId<EntryName>("entry-2");
    const back = brandId<EntryName>("entry-1");
    for (let sent = 0; sent < count / 2; sent++) {
      const arrived = firstValueFrom(this.#second.deliveries);
      this.#first.send(entry, HEARTBEAT);
      await arrived;
      const answered = firstValueFrom(this.#first.deliveries);
      this.#second.send(back, HEARTBEAT);
      await answered;
    }
  }

  async stop(): Promise<void> {
    await this.#first.stop();
    await this.#second.stop();
  }

  #isConnected(): boolean {
    return this.#first.listConnected().length === 1 &&
      this.#second.listConnected().length === 1;
  }
}

function createTask(entry: string): MeshNetwork {
  return MeshNetwork.create({
    identity: {
      entry: brandId<EntryName>(entry),
      incarnation: brandId<Incarnation>(entry),
      region: brandId<RegionName>("region-1"),
      failureDomain: brandId<FailureDomainName>("domain-1"),
    },
    clock: ManualClock.create(),
    events: { emit: () => {} },
    host: HOST,
    port: 0,
    secret: "a shared secret of the bench",
    createHeartbeat: () => HEARTBEAT,
  });
}

function sleep(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
}
