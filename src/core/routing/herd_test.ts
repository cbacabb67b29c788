import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededChance } from "../../../tests/fixtures/seeded_chance.ts";
import { unitHash } from "../../runtime/hashing.ts";
import type { DataCentreId, InstanceId } from "../ids.ts";
import { ServerLoads } from "../servers/server_loads.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import { AffinityChoice } from "./affinity_choice.ts";
import { PromptHolders } from "./prompt_holders.ts";
import { serverRecord } from "../../../tests/fixtures/server_record.ts";

const VMS = 20;
const REPORT_INTERVAL_MS = 1_000;
const STEP_MS = 50;
const WORK_MS = 100;
const SHARED_MS = 60;
const DURATION_MS = 20_000;
const SEED = 11;

const SERVERS: readonly ServerRecord[] = Array.from(
  { length: 20 },
  (_, at) => serverRecord(`i-${at}`),
);

type Choose = (vm: ServerLoads, prompt: string) => InstanceId;

/**
 * Simulates VMs that learn of each other's load once a second. Servers do one millisecond of work
 * per millisecond and are loaded to half of their capacity. Returns the longest queue, in
 * milliseconds of work.
 */
function simulate(choose: Choose, chance: () => number): number {
  const vms = Array.from({ length: VMS }, () => new ServerLoads());
  const queues = new Map<InstanceId, number>();
  let longest = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    if (nowMs % REPORT_INTERVAL_MS === 0) reportLoads(vms, queues);
    for (const vm of vms) {
      if (chance() > SERVERS.length * STEP_MS / (2 * VMS * WORK_MS)) continue;
      const instance = choose(vm, `${Math.floor(chance() * 1e6)}`);
      vm.begin(instance, WORK_MS);
      const queue = (queues.get(instance) ?? 0) + WORK_MS;
      queues.set(instance, queue);
      longest = Math.max(longest, queue);
    }
    for (const [instance, queue] of queues) {
      queues.set(instance, Math.max(0, queue - STEP_MS));
    }
  }
  return longest;
}

/** Replaces the loads known to each VM, including those of its own requests, by current ones. */
function reportLoads(
  vms: readonly ServerLoads[],
  queues: ReadonlyMap<InstanceId, number>,
): void {
  const reports = new Map([...queues].map(([instance, workMs]) => [
    instance,
    { instance, workMs, answers: 0, failures: 0, witnesses: 0 },
  ]));
  for (const vm of vms) {
    for (const { instance } of SERVERS) vm.end(instance, Infinity);
    vm.setPeerReports(reports);
  }
}

function leastBusy(vm: ServerLoads): InstanceId {
  const [first, ...others] = SERVERS.map(({ instance }) => instance);
  return others.reduce(
    (best, instance) => vm.work(instance) < vm.work(best) ? instance : best,
    first as InstanceId,
  );
}

describe("affinity choice by many VMs with delayed load reports", () => {
  it("should not let all VMs choose the server last reported as least busy", () => {
    const chance = seededChance(SEED);
    const choices = new Map<ServerLoads, AffinityChoice>();
    const longest = simulate((serverLoads, affinity) => {
      const choice = choices.get(serverLoads) ?? new AffinityChoice({
        serverLoads,
        promptHolders: new PromptHolders(),
        unitHash,
        chance,
      });
      choices.set(serverLoads, choice);
      const server = choice.choose({
        candidates: SERVERS,
        affinity,
        sharedMs: SHARED_MS,
        dataCentre: "north" as DataCentreId,
        tried: new Set(),
        avoided: new Set(),
        rateLimited: [],
        nowMs: 0,
      });
      assert.ok(server);
      return server.instance;
    }, chance);
    const herded = simulate(leastBusy, seededChance(SEED));
    assert.ok(longest <= 8 * WORK_MS, `longest queue ${longest} ms`);
    assert.ok(longest < herded / 2, `${longest} ms, herded ${herded} ms`);
  });
});
