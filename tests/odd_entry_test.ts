/**
 * Guards against one odd entry among those of the servers that stops gateways: comparing a deeply
 * nested one after a restore of the store ended the process, and a gateway cut off the store got
 * nothing any more from others that had to send the entry along.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import { RawJson } from "../src/standins/raw_json.ts";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import type { RawRequest, RawServer } from "./fixtures/raw_server.ts";
import { answerBytes, routeWire, serverWire } from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const VMS = 3;
const WATCHED_KINDS = 3;
const CUT_VM = "edge-2";
/** Time for gateways to see a change of the store, or a restore. */
const SEEN_MS = 600;
const NESTED = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
const ROUTES = [routeWire({ Name: "r-stock", PathPrefix: "/stock/" })];

const answerWhole = ({ socket }: RawRequest) => socket.write(answerBytes());

/** An entry in which the JSON text of one field is replaced or added. */
function entryWith(field: string, text: string): RawJson {
  const { [field]: _replaced, ...others } = serverWire(
    "127.0.0.1:1",
  ) as Record<string, unknown>;
  const fields = Object.entries(others)
    .map(([name, value]) => `"${name}":${JSON.stringify(value)}`);
  return new RawJson(`{${[...fields, `"${field}":${text}`].join(",")}}`);
}

const ENTRIES: Readonly<Record<string, RawJson>> = {
  "deeply nested": new RawJson(NESTED),
  "a deeply nested field that has no meaning": entryWith("Odd", NESTED),
  "a deeply nested service": entryWith("Service", NESTED),
  "a deeply nested start time": entryWith("born", NESTED),
  "a number too large": entryWith("Slots", "1e999"),
  "a port out of range": entryWith("Address", '"127.0.0.1:70000"'),
  "no address": entryWith("Address", '"somewhere"'),
  "a prototype": entryWith("__proto__", '{"State":"ready"}'),
};

describe("an odd entry among those of the servers", () => {
  let fleet: GatewayFleet;
  let sound: RawServer;

  beforeEach(async () => {
    fleet = new GatewayFleet(ROUTES, {});
    await fleet.start(VMS);
    sound = await fleet.addServer("i-1", answerWhole);
    await untilAllServe("/stock/");
    // A gateway that does not watch yet would not notice a restore.
    await until(() =>
      Promise.resolve(
        fleet.store.objects.waitingWatches === VMS * WATCHED_KINDS,
      )
    );
  });

  afterEach(() => fleet.stop());

  async function untilAllServe(pathPrefix: string): Promise<void> {
    await until(async () => {
      const answers = await Promise.all(
        fleet.vms.map((vm) => fleet.call(vm, `${pathPrefix}1`)),
      );
      return answers.every(({ status }) => status === 200);
    });
  }

  /** Checks that all gateways learn of a server and of a route that are added now. */
  async function checkAllFollow(): Promise<void> {
    const added = await fleet.addServer("i-2", answerWhole);
    fleet.updateServer("i-1", { State: "draining" });
    fleet.configure("/added/");
    await untilAllServe("/added/");
    await pause(SEEN_MS);
    const before = sound.requests.length;
    const addedBefore = added.requests.length;
    await untilAllServe("/added/");
    assert.equal(sound.requests.length, before);
    assert.ok(added.requests.length > addedBefore);
  }

  for (const [name, spec] of Object.entries(ENTRIES)) {
    it(`should stop no gateway after a restore of the store: ${name}`, async () => {
      fleet.store.objects.put("servers", { name: "odd", spec });
      await pause(SEEN_MS);
      fleet.store.objects.restore(fleet.store.objects.copy());
      await pause(SEEN_MS);
      await checkAllFollow();
    });

    it(`should not keep changes from a gateway cut off the store: ${name}`, async () => {
      fleet.disconnectStore(CUT_VM, "resets");
      fleet.store.objects.put("servers", { name: "odd", spec });
      await pause(SEEN_MS);
      await checkAllFollow();
    });
  }
});
