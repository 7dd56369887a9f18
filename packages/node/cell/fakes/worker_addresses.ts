/** Addresses in a simulated cell: who listens there, and which ones no call can be sent to. */
import {
  brandId,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { WorkerTarget } from "@coltsfootpond/ports";
import type { WorkerFake } from "../workers_fake.ts";

/** Calls to hosts whose names begin with this get no answer. */
const SILENT_HOST = "silent";
/** No process listens there; the machine refuses the connection. */
const CLOSED_HOST = "closed";
/** A process that is no worker answers every call with the status of a fenced command. */
const FENCING_HOST = "fencing";
const MAXIMUM_PORT = 65_535;

export function createSilentAddress(number = 0): WorkerAddress {
  return brandId<WorkerAddress>(`${SILENT_HOST}${number}:1`);
}

export function createClosedAddress(number = 0): WorkerAddress {
  return brandId<WorkerAddress>(`${CLOSED_HOST}${number}:1`);
}

export function createFencingAddress(number = 0): WorkerAddress {
  return brandId<WorkerAddress>(`${FENCING_HOST}${number}:1`);
}

export function isUsableAddress(address: string): boolean {
  const match = /^[!-~]+:([1-9][0-9]*)$/.exec(address);
  return match !== null && Number(match[1]) <= MAXIMUM_PORT;
}

/** What a call to the target meets besides the worker that it names. */
export type Listener =
  | { readonly kind: "named"; readonly worker: WorkerFake }
  | { readonly kind: "other"; readonly worker: WorkerFake }
  | { readonly kind: "fencing" }
  | { readonly kind: "silent" }
  | { readonly kind: "closed" }
  | { readonly kind: "unusable" };

/** A worker that another has replaced still stands for its address. */
export function findListener(
  workers: ReadonlyMap<WorkerName, WorkerFake>,
  { worker: name, address }: WorkerTarget,
): Listener {
  const named = workers.get(name);
  if (named?.record.address === address) {
    return { kind: "named", worker: named };
  }
  if (!isUsableAddress(address)) return { kind: "unusable" };
  const other = [...workers.values()].find(({ record, isReplaced, hasLeft }) =>
    record.address === address && !isReplaced && !hasLeft
  );
  if (other !== undefined) return { kind: "other", worker: other };
  if (address.startsWith(FENCING_HOST)) return { kind: "fencing" };
  return { kind: address.startsWith(SILENT_HOST) ? "silent" : "closed" };
}
