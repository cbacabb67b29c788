import { afterEach, beforeEach, describe, it } from "node:test";
import { selectFleetRelays } from "../src/core/membership/fleet_relays.ts";
import type { Member } from "../src/core/membership/member.ts";
import { unitHash } from "../src/runtime/hashing.ts";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import { RawServer } from "./fixtures/raw_server.ts";
import { answerBytes, serverWire } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** More VMs than a fleet in which each VM is a relay. */
const VMS = 15;
/** Store readers in a fleet of this size; with a single data centre they are its relays. */
const READERS = 2;
/** Kinds that a reader watches while no roll-out is open, which excludes trials. */
const WATCHED_KINDS = 3;

let fleet: GatewayFleet;

beforeEach(async () => {
  fleet = new GatewayFleet();
  await fleet.start(VMS);
});

afterEach(() => fleet.stop());

/** Changes the configuration and waits until the given number of VMs serve it. */
async function configureUntilServed(path: string, vms: number): Promise<void> {
  fleet.configure(path);
  await until(async () => (await fleet.serving(path)).length === vms);
}

/** Waits until only the readers watch the store. */
async function untilRelayed(): Promise<void> {
  await until(() =>
    Promise.resolve(
      fleet.store.objects.waitingWatches === READERS * WATCHED_KINDS,
    )
  );
}

function relayNames(): string[] {
  const members = Array.from({ length: VMS }, (_, index) => ({
    id: `edge-${index}`,
    data_centre: "north",
    state: "alive",
  })) as unknown as Member[];
  return selectFleetRelays(members, { dataCentre: "north", unitHash })
    .map(({ id }) => id);
}

describe("fleet of gateways", () => {
  it("should watch the store through its readers only, and receive changes from them", async () => {
    await untilRelayed();
    await configureUntilServed("/relayed/", VMS);
  });

  it("should select new relays after the current ones are killed", async () => {
    await untilRelayed();
    const relays = relayNames();
    await Promise.all(relays.map((vm) => fleet.kill(vm)));
    await configureUntilServed("/after/", VMS - relays.length);
  });

  // When all relays read the store, such a loss had no effect. With few readers, the ones that
  // had lost the store and their successors could replace each other for as long as it lasted.
  for (const fault of ["silence", "resets"] as const) {
    it(`should select new readers when both lose the store (${fault})`, async () => {
      await untilRelayed();
      for (const vm of relayNames()) fleet.disconnectStore(vm, fault);
      await configureUntilServed(`/beyond-${fault}/`, VMS);
    });
  }

  // A change that no reader's watch reported never reached any VM of the fleet.
  it("should detect a removed server when the watches of all readers are stuck", async () => {
    await untilRelayed();
    const server = new RawServer(({ socket }) => socket.write(answerBytes()));
    const spec = serverWire(await server.listen());
    fleet.store.objects.put("servers", { name: "i-1", spec });
    await until(async () => (await fleet.serving("/first/")).length === 0);
    fleet.store.setFaults({ watchesStuck: true });
    fleet.store.objects.remove("servers", "i-1");
    await until(async () => (await fleet.serving("/first/")).length === VMS);
    await server.close();
  });

  it("should notify all VMs of a planned stop through the relays", async () => {
    await untilRelayed();
    const relays = relayNames();
    const leaving = relays.includes("edge-3") ? "edge-4" : "edge-3";
    await until(async () => await fleet.countAdvertising(leaving) === VMS - 1);
    fleet.leave(leaving);
    await until(async () => await fleet.countAdvertising(leaving) === 0);
  });
});
