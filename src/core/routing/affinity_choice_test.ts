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
  // What others sent is not told, so that the ring alone decides.
  holders.setShared(false);
});

/** Chooses as one VM does, with a draw by chance that is always the same. */
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
    limited: [],
    nowMs: 0,
    ...patch,
  });
  return server?.instance ?? "none";
}

describe("affinity choice", () => {
  it("should choose the same server for a prompt on every VM, whatever its place", () => {
    const first = choose();
    assert.equal(choose({ dataCentre: "south" as DataCentreId }), first);
    assert.equal(choose({ candidates: [...SERVERS].reverse() }), first);
  });

  it("should choose different servers by chance where those of a prompt are busy", () => {
    const first = choose();
    loads.begin(first as InstanceId, 5_000);
    const second = choose();
    loads.begin(second as InstanceId, 5_000);
    const draws = [0.05, 0.3, 0.55, 0.8].map((draw) => choose({}, draw));
    assert.ok(!draws.includes(first) && !draws.includes(second));
    assert.equal(new Set(draws).size, draws.length);
  });

  it("should stay with a server that is a little busier than others", () => {
    const first = choose();
    loads.begin(first as InstanceId, 30);
    assert.equal(choose(), first);
  });

  it("should spread the prompts evenly enough", () => {
    const counts = new Map<string, number>();
    for (let n = 0; n < 6_000; n++) {
      const server = choose({ affinity: `part-${n}` });
      counts.set(server, (counts.get(server) ?? 0) + 1);
    }
    assert.equal(counts.size, SERVERS.length);
    assert.ok(Math.max(...counts.values()) < 2 * 6_000 / SERVERS.length);
  });

  it("should leave servers out that are avoided or tried, unless all are", () => {
    const first = choose();
    const second = choose({ tried: new Set([first as InstanceId]) });
    assert.notEqual(second, first);
    loads.recordUnreachable(first as InstanceId, 0);
    assert.equal(choose(), second);
    for (const { instance } of SERVERS) loads.recordUnreachable(instance, 0);
    assert.equal(choose(), first);
  });

  it("should go to the server that holds the prompt, wherever the ring has it", () => {
    const holder = SERVERS.find(({ instance }) => instance !== choose());
    assert.ok(holder);
    holders.sent({ key: "part", instance: holder.instance }, 0);
    holders.setShared(true);
    assert.equal(choose(), holder.instance);
  });

  it("should read a prompt that nobody holds on a server with time for it", () => {
    holders.setShared(true);
    const first = choose();
    loads.begin(first as InstanceId, 30);
    assert.notEqual(choose(), first);
    holders.sent({ key: "part", instance: first as InstanceId }, 0);
    assert.equal(choose(), first);
  });

  it("should choose the least busy server where prompts do not matter", () => {
    for (const { instance } of SERVERS) loads.begin(instance, 500);
    loads.end("i-4" as InstanceId, 400);
    assert.equal(choose({ affinity: undefined }), "i-4");
  });
});
