import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { unitHash } from "../../runtime/hashing.ts";
import type { DataCentreId, InstanceId } from "../ids.ts";
import { ServerLoads } from "../servers/server_loads.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import { AffinityChoice, type ChoiceInput } from "./affinity_choice.ts";
import { PromptHolders } from "./prompt_holders.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";

const NORTH = "north" as DataCentreId;
const SERVERS: readonly ServerRecord[] = Array.from(
  { length: 30 },
  (_, at) =>
    serverRecord(`i-${at}`, {
      dataCentre: (at % 2 === 0 ? "north" : "south") as DataCentreId,
    }),
);

let loads: ServerLoads;
let holders: PromptHolders;

beforeEach(() => {
  loads = new ServerLoads();
  holders = new PromptHolders();
  // Without holders advertised by other VMs, only the ring decides.
  holders.setShared(false);
});

/** Selects a server as one VM would; `draw` is the result of every random draw. */
function choose(patch: Partial<ChoiceInput> = {}, draw = 0.5): string {
  const choice = new AffinityChoice({
    serverLoads: loads,
    promptHolders: holders,
    unitHash,
    chance: () => draw,
  });
  const server = choice.choose({
    candidates: SERVERS,
    affinity: "part",
    sharedMs: 40,
    dataCentre: NORTH,
    tried: new Set(),
    avoided: new Set(),
    rateLimited: [],
    nowMs: 0,
    ...patch,
  });
  return server?.instance ?? "none";
}

describe("affinity choice", () => {
  it("should choose the same server for a prompt regardless of data centre and candidate order", () => {
    const first = choose();
    assert.equal(choose({ dataCentre: "south" as DataCentreId }), first);
    assert.equal(choose({ candidates: [...SERVERS].reverse() }), first);
  });

  // Guards against BUDGET: affinity leads all requests with a part to the server that it crashed.
  it("should avoid servers of the prompt that crashed under it, unless no healthy one is left", () => {
    const candidates = SERVERS.map((server, at) => ({
      ...server,
      address: `10.0.0.${at}:80`,
    }));
    const addressOf = (name: string) =>
      candidates.find(({ instance }) => instance === name)?.address ?? "";
    const first = choose({ candidates });
    const avoided = new Set([addressOf(first)]);
    const second = choose({ candidates, avoided });
    assert.notEqual(second, first);
    const all = new Set(candidates.map(({ address }) => address));
    assert.equal(choose({ candidates, avoided: all }), first);
    const others = candidates.filter(({ instance }) => instance !== first);
    for (const { instance } of others) {
      for (let n = 0; n < 5; n++) loads.recordUnreachable(instance, 0);
    }
    assert.equal(choose({ candidates, avoided }), first);
  });

  it("should choose random servers if those of the prompt are busy", () => {
    const first = choose();
    loads.begin(first as InstanceId, 5_000);
    const second = choose();
    loads.begin(second as InstanceId, 5_000);
    const draws = [0.05, 0.3, 0.55, 0.8].map((draw) => choose({}, draw));
    assert.ok(!draws.includes(first) && !draws.includes(second));
    assert.equal(new Set(draws).size, draws.length);
  });

  it("should stay with a server that is slightly busier than others", () => {
    const first = choose();
    loads.begin(first as InstanceId, 30);
    assert.equal(choose(), first);
  });

  it("should spread prompts evenly over all servers", () => {
    const counts = new Map<string, number>();
    for (let n = 0; n < 6_000; n++) {
      const server = choose({ affinity: `part-${n}` });
      counts.set(server, (counts.get(server) ?? 0) + 1);
    }
    assert.equal(counts.size, SERVERS.length);
    assert.ok(Math.max(...counts.values()) < 2 * 6_000 / SERVERS.length);
  });

  it("should skip tried servers, and ejected ones unless all are ejected", () => {
    const first = choose();
    const second = choose({ tried: new Set([first as InstanceId]) });
    assert.notEqual(second, first);
    loads.recordUnreachable(first as InstanceId, 0);
    assert.equal(choose(), second);
    for (const { instance } of SERVERS) loads.recordUnreachable(instance, 0);
    assert.equal(choose(), first);
  });

  it("should choose the server that has the prompt cached over those on the ring", () => {
    const holder = SERVERS.find(({ instance }) => instance !== choose());
    assert.ok(holder);
    holders.recordSent({ key: "part", instance: holder.instance }, 0);
    holders.setShared(true);
    assert.equal(choose(), holder.instance);
  });

  it("should choose a less busy server if no server has the prompt cached", () => {
    holders.setShared(true);
    const first = choose();
    loads.begin(first as InstanceId, 30);
    assert.notEqual(choose(), first);
    holders.recordSent({ key: "part", instance: first as InstanceId }, 0);
    assert.equal(choose(), first);
  });

  it("should choose the least busy server for a request without affinity", () => {
    for (const { instance } of SERVERS) loads.begin(instance, 500);
    loads.end("i-4" as InstanceId, 400);
    assert.equal(choose({ affinity: undefined }), "i-4");
  });
});
