/** Cost of the data structures in src/core at the two-year size, in one process. */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { ConfigurationIndex } from "../src/core/config/configuration_index.ts";
import { diffHeads } from "../src/core/config/head_delta.ts";
import { splitConfiguration } from "../src/core/config/object_split.ts";
import { nextHead } from "../src/core/config/stored_configuration.ts";
import type { DataCentreId, EntryId, Revision } from "../src/core/ids.ts";
import type { Member } from "../src/core/membership/member.ts";
import { MemberTable } from "../src/core/membership/member_table.ts";
import { selectRelays } from "../src/core/membership/relay_choice.ts";
import { chooseSubset } from "../src/core/routing/server_subset.ts";
import { sha256, unitHash } from "../src/runtime/hashing.ts";
import {
  largeConfiguration,
  TWO_YEAR_SIZE,
  withChange,
} from "./two_year_size.ts";

const REPEAT_COUNT = 50;
const BYTES_PER_MB = 1_048_576;

/** Prints time, memory and message sizes of the data structures. */
export function benchCore(): void {
  const cfg = largeConfiguration();
  const objects = splitConfiguration(cfg, sha256);
  const objectRefs = objects.map(({ ref }) => ref);
  const head = nextHead(undefined, {
    objects: objectRefs,
    applyId: "a".repeat(36),
    nowMs: 0,
  });
  const changedObjects = splitConfiguration(withChange(cfg, 1), sha256);
  const changedRefs = changedObjects.map(({ ref }) => ref);
  const changedHead = nextHead(head, {
    objects: changedRefs,
    applyId: "b".repeat(36),
    nowMs: 0,
  });
  const knownHashes = new Set(objectRefs.map(({ sha256 }) => sha256));
  const newObjects = changedObjects.filter(({ ref }) =>
    !knownHashes.has(ref.sha256)
  );
  const jsonBytes = (value: unknown) =>
    Buffer.byteLength(JSON.stringify(value));
  console.table({
    "objects of the configuration": { value: objects.length, unit: "" },
    "whole head": { value: jsonBytes(head), unit: "bytes" },
    "changes of a head": {
      value: jsonBytes(diffHeads(head, changedHead)),
      unit: "bytes",
    },
    "objects of one change": {
      value: newObjects.reduce((sum, { text }) => sum + text.length, 0),
      unit: "bytes",
    },
    "whole configuration": {
      value: objects.reduce((sum, { text }) => sum + text.length, 0),
      unit: "bytes",
    },
    "split for apply": measureTime(() => splitConfiguration(cfg, sha256)),
    "index of a revision": measureTime(() =>
      new ConfigurationIndex(1 as Revision, cfg)
    ),
    "memory of an index": {
      value: round(
        measureMemoryMb(() =>
          new ConfigurationIndex(1 as Revision, largeConfiguration())
        ),
      ),
      unit: "MB",
    },
    ...membershipCosts(),
    "subset of servers": measureTime(() =>
      chooseSubset(cfg.backends, {
        entry: "e" as EntryId,
        dataCentre: "dc-1" as DataCentreId,
        size: 24,
        unitHash,
      })
    ),
  });
}

function membershipCosts() {
  const members = Array.from(
    { length: TWO_YEAR_SIZE.entries },
    (_, index) => createMember(index),
  );
  const table = new MemberTable(createMember(-1));
  table.merge(members, 0);
  const updates = members.slice(0, 9);
  return {
    "one probe, asked or answered": measureTime(() => {
      table.merge(updates, 0);
      table.nextGossip();
      table.expire(0, { keepDead: false });
    }),
    "whole membership": {
      value: Buffer.byteLength(JSON.stringify(table.everyone())),
      unit: "bytes",
    },
    "choice of relays": measureTime(() =>
      selectRelays(createMember(-1), { members, unitHash })
    ),
  };
}

function createMember(index: number): Member {
  return {
    id: `entry-${index}` as EntryId,
    data_centre: `dc-${
      (index + 7) % TWO_YEAR_SIZE.dataCentres
    }` as DataCentreId,
    callers: `10.0.0.${index}:8080`,
    peers: `10.0.0.${index}:8081`,
    incarnation: 1_796_000_000_000,
    state: "alive",
    revision: 1 as Revision,
  };
}

function measureTime(work: () => unknown): { value: number; unit: string } {
  work();
  const startedMs = performance.now();
  for (let repeat = 0; repeat < REPEAT_COUNT; repeat++) work();
  return {
    value: round((performance.now() - startedMs) / REPEAT_COUNT),
    unit: "ms",
  };
}

function measureMemoryMb(build: () => unknown): number {
  const COPY_COUNT = 10;
  globalThis.gc?.();
  const usedBefore = process.memoryUsage().heapUsed;
  const copies = Array.from({ length: COPY_COUNT }, build);
  globalThis.gc?.();
  const used = process.memoryUsage().heapUsed - usedBefore;
  return copies.length === COPY_COUNT ? used / COPY_COUNT / BYTES_PER_MB : 0;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
