import { afterEach, beforeEach, describe, it } from "node:test";
import { selectFleetRelays } from "../src/core/membership/fleet_relays.ts";
import type { Member } from "../src/core/membership/member.ts";
import { unitHash } from "../src/runtime/hashing.ts";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import { RawServer } from "./fixtures/raw_server.ts";
import { answerBytes, serverWire } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** More than a fleet in which each VM is a relay. */
const VMS = 15;
/** Readers of a fleet of this size; in one data centre of it they are its relays. */
const READERS = 2;
/** Kinds that a reader watches while no roll-out is open: trials are not among them. */
const KINDS = 3;

let fleet: GatewayFleet;

beforeEach(async () => {
  fleet = new GatewayFleet();
  await fleet.start(VMS);
});

afterEach(() => fleet.stop());

/** Changes the configuration, and waits until so many VMs have it. */
async function untilInForce(path: string, vms: number): Promise<void> {
  fleet.configure(path);
  await until(async () => (await fleet.serving(path)).length === vms);
}

/** Waits until the store is watched by its readers only. */
async function untilRelayed(): Promise<void> {
  await until(() =>
    Promise.resolve(fleet.store.kinds.waiting === READERS * KINDS)
  );
}

function relayNames(): string[] {
  const members = Array.from({ length: VMS }, (_, at) => ({
    id: `edge-${at}`,
    data_centre: "north",
    state: "alive",
  })) as unknown as Member[];
  return selectFleetRelays(members, { dataCentre: "north", unitHash })
    .map(({ id }) => id);
}

describe("fleet of gateways", () => {
  it("should watch the store by its readers only, and learn of changes by them", async () => {
    await untilRelayed();
    await untilInForce("/relayed/", VMS);
  });

  it("should choose new relays when those that there are have been killed", async () => {
    await untilRelayed();
    const relays = relayNames();
    await Promise.all(relays.map((vm) => fleet.kill(vm)));
    await untilInForce("/after/", VMS - relays.length);
  });

  // With relays that all read, a fleet bore such a loss unnoticed; with few readers, in a
  // first form, those that had lost the store and their successors took turns for as long.
  for (const how of ["silence", "resets"] as const) {
    it(`should choose readers anew when ${how} keep both from the store`, async () => {
      await untilRelayed();
      for (const vm of relayNames()) fleet.disconnectStore(vm, how);
      await untilInForce(`/beyond-${how}/`, VMS);
    });
  }

  // A change that no watch of a reader told of came to no VM of the fleet, however long it took.
  it("should learn of a removed server though the watches of all readers tell nothing", async () => {
    await untilRelayed();
    const server = new RawServer(({ socket }) => socket.write(answerBytes()));
    const spec = serverWire(await server.listen());
    fleet.store.kinds.put("servers", { name: "i-1", spec });
    await until(async () => (await fleet.serving("/first/")).length === 0);
    fleet.store.setFaults({ watchesStuck: true });
    fleet.store.kinds.remove("servers", "i-1");
    await until(async () => (await fleet.serving("/first/")).length === VMS);
    await server.close();
  });

  it("should tell all VMs of a planned stop by the relays", async () => {
    await untilRelayed();
    const relays = relayNames();
    const leaving = relays.includes("edge-3") ? "edge-4" : "edge-3";
    await until(async () => await fleet.countAdvertising(leaving) === VMS - 1);
    fleet.leave(leaving);
    await until(async () => await fleet.countAdvertising(leaving) === 0);
  });
});
