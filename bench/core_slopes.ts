/** Cost of the core's structures at the two-year size, in one process. */

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

const REPEATS = 50;
const BYTES_PER_MB = 1_048_576;

/** Prints what the structures cost. */
export function benchCore(): void {
  const cfg = largeConfiguration();
  const objects = splitConfiguration(cfg, sha256);
  const refs = objects.map(({ ref }) => ref);
  const head = nextHead(undefined, {
    objects: refs,
    applyId: "a".repeat(36),
    nowMs: 0,
  });
  const changed = splitConfiguration(withChange(cfg, 1), sha256);
  const changedRefs = changed.map(({ ref }) => ref);
  const next = nextHead(head, {
    objects: changedRefs,
    applyId: "b".repeat(36),
    nowMs: 0,
  });
  const known = new Set(refs.map(({ sha256 }) => sha256));
  const fresh = changed.filter(({ ref }) => !known.has(ref.sha256));
  const size = (value: unknown) => Buffer.byteLength(JSON.stringify(value));
  console.table({
    "objects of the configuration": { value: objects.length, unit: "" },
    "whole head": { value: size(head), unit: "bytes" },
    "changes of a head": { value: size(diffHeads(head, next)), unit: "bytes" },
    "objects of one change": {
      value: fresh.reduce((sum, { text }) => sum + text.length, 0),
      unit: "bytes",
    },
    "whole configuration": {
      value: objects.reduce((sum, { text }) => sum + text.length, 0),
      unit: "bytes",
    },
    "split for apply": timed(() => splitConfiguration(cfg, sha256)),
    "index of a revision": timed(() =>
      new ConfigurationIndex(1 as Revision, cfg)
    ),
    "memory of an index": {
      value: round(
        memoryOf(() =>
          new ConfigurationIndex(1 as Revision, largeConfiguration())
        ),
      ),
      unit: "MB",
    },
    ...membershipCosts(),
    "subset of servers": timed(() =>
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
    (_, at) => member(at),
  );
  const table = new MemberTable(member(-1));
  table.merge(members, 0);
  const news = members.slice(0, 9);
  return {
    "one probe, asked or answered": timed(() => {
      table.merge(news, 0);
      table.nextGossip();
      table.expire(0, { keepDead: false });
    }),
    "whole membership": {
      value: Buffer.byteLength(JSON.stringify(table.everyone())),
      unit: "bytes",
    },
    "choice of relays": timed(() =>
      selectRelays(member(-1), { members, unitHash })
    ),
  };
}

function member(at: number): Member {
  return {
    id: `entry-${at}` as EntryId,
    data_centre: `dc-${(at + 7) % TWO_YEAR_SIZE.dataCentres}` as DataCentreId,
    callers: `10.0.0.${at}:8080`,
    peers: `10.0.0.${at}:8081`,
    incarnation: 1_796_000_000_000,
    state: "alive",
    revision: 1 as Revision,
  };
}

function timed(work: () => unknown): { value: number; unit: string } {
  work();
  const startedMs = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat++) work();
  return {
    value: round((performance.now() - startedMs) / REPEATS),
    unit: "ms",
  };
}

function memoryOf(build: () => unknown): number {
  const COPIES = 10;
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = Array.from({ length: COPIES }, build);
  globalThis.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  return kept.length === COPIES ? used / COPIES / BYTES_PER_MB : 0;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
