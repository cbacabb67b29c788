import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import fc from "fast-check";
import type { AccountId, RequestKey, ServerIncarnation } from "../ids.ts";
import type { Crash, RequestSuspects } from "./crash.ts";
import { CrashHistory } from "./crash_history.ts";
import { QUARANTINE_MS } from "./quarantine.ts";

const REQUEST = "poison" as RequestKey;
const SUSPECTS: RequestSuspects = { request: REQUEST, parts: [] };
/** Longer than the delay before a request is quarantined. */
const SETTLED_MS = 1_000;

let history: CrashHistory;

beforeEach(() => {
  history = new CrashHistory();
});

function crash(n: number, patch: Partial<Crash> = {}): Crash {
  return {
    request: REQUEST,
    parts: [],
    account: "shop" as AccountId,
    life: `i-${n}` as ServerIncarnation,
    address: `10.0.0.${n}:1`,
    after: [],
    beganMs: n * 10_000 - 50,
    endedMs: n * 10_000,
    serviceSize: 8,
    ...patch,
  };
}

/** Records crashes, each at the time it happens; returns the time of the last one. */
function recordCrashes(count: number, first = 1): number {
  for (let n = first; n < first + count; n++) {
    history.recordCrash(crash(n), n * 10_000);
  }
  return (first + count - 1) * 10_000;
}

describe("crash history", () => {
  it("should quarantine a request after three crashes and the settle delay", () => {
    const atMs = recordCrashes(3);
    assert.equal(history.quarantineStatus(SUSPECTS, atMs).tag, "settling");
    const status = history.quarantineStatus(SUSPECTS, atMs + SETTLED_MS);
    assert.deepEqual(status, {
      tag: "quarantined",
      leftMs: QUARANTINE_MS - SETTLED_MS,
      crashes: 3,
      parts: [],
    });
  });

  it("should count a crash once however often it is reported", () => {
    for (let n = 0; n < 5; n++) history.recordCrash(crash(1), 20_000 + n);
    assert.equal(history.crashesOf(REQUEST).length, 1);
    assert.equal(history.quarantineStatus(SUSPECTS, 30_000).tag, "free");
  });

  it("should clear a request after a successful run and restart the count", () => {
    const atMs = recordCrashes(2);
    assert.ok(history.recordSuccess({ request: REQUEST, atMs }, atMs));
    recordCrashes(1, 3);
    assert.equal(history.quarantineStatus(SUSPECTS, 40_000).tag, "free");
    assert.equal(history.crashesOf(REQUEST).length, 1);
  });

  it("should ignore crashes reported after a later successful run", () => {
    history.recordCrash(crash(1), 10_000);
    history.recordSuccess({ request: REQUEST, atMs: 50_000 }, 50_000);
    assert.ok(!history.recordCrash(crash(2), 60_000));
    assert.equal(history.crashesOf(REQUEST).length, 0);
  });

  it("should let a request run once after its quarantine, and quarantine it again after one more crash", () => {
    const atMs = recordCrashes(3) + QUARANTINE_MS;
    assert.equal(history.quarantineStatus(SUSPECTS, atMs).tag, "trial_due");
    history.recordCrash(
      crash(4, { beganMs: atMs, endedMs: atMs + 50 }),
      atMs + 50,
    );
    const status = history.quarantineStatus(SUSPECTS, atMs + SETTLED_MS);
    assert.equal(status.tag, "quarantined");
  });

  it("should remove expired crashes", () => {
    recordCrashes(3);
    history.removeExpired(12 * 3_600_000);
    assert.ok(history.isEmpty);
  });

  it("should evict requests of the account with the most tracked requests when full", () => {
    recordCrashes(2);
    for (let n = 0; n < 3_000; n++) {
      const request = `r-${n}` as RequestKey;
      history.recordCrash(
        crash(n, { request, account: "many" as AccountId }),
        n,
      );
    }
    assert.ok(history.size <= 1_000);
    assert.equal(history.crashesOf(REQUEST).length, 2);
  });
});

/**
 * Simulates VMs that send a request to servers, each of which crashes under it, while other
 * requests run on the same servers and servers also fail by themselves. Reports between VMs
 * arrive late, repeatedly and in any order.
 */
class Fleet {
  readonly histories: readonly CrashHistory[];
  readonly #reports: { readonly atMs: number; readonly crash: Crash }[] = [];
  #crashCount = 0;
  nowMs = 0;

  constructor(vms: number) {
    this.histories = Array.from({ length: vms }, () => new CrashHistory());
  }

  /** Crashes one server under the request and the bystanders; their VMs observe it. */
  crashServer(
    sender: number,
    { request, bystanders, delays }: {
      request: RequestKey | undefined;
      /** Requests on the same server, with the VM of each. */
      bystanders: readonly (readonly [RequestKey, number])[];
      delays: readonly number[];
    },
  ): void {
    const n = ++this.#crashCount;
    const beganMs = this.nowMs;
    const endedMs = beganMs + 50;
    const ran = request === undefined
      ? bystanders
      : [[request, sender], ...bystanders];
    const seen = ran.map(([key, vm]) => {
      const known = this.histories[Number(vm)]?.crashesOf(key as RequestKey) ??
        [];
      return [
        Number(vm),
        crash(n, {
          request: key as RequestKey,
          address: `10.0.0.${n % 8}:1`,
          after: known.map(({ life }) => life),
          beganMs,
          endedMs,
        }),
      ] as const;
    });
    this.nowMs = endedMs;
    for (const [vm, one] of seen) {
      this.histories[vm]?.recordCrash(one, endedMs);
      for (const delay of delays) {
        this.#reports.push({ atMs: endedMs + delay, crash: one });
      }
    }
  }

  /** Delivers the reports due by `untilMs` to all VMs. */
  deliver(untilMs: number): void {
    this.nowMs = Math.max(this.nowMs, untilMs);
    const due = this.#reports
      .filter(({ atMs }) => atMs <= untilMs)
      .sort((a, b) => a.atMs - b.atMs);
    for (const { crash: one, atMs } of due) {
      for (const each of this.histories) each.recordCrash(one, atMs);
    }
  }
}

/** Maximum report delay; below the time within which all VMs must know of a crash. */
const MAX_REPORT_DELAY_MS = 2_900;
const VMS = 4;

const crashArbitrary = fc.record({
  vm: fc.nat(VMS - 1),
  bystanders: fc.array(
    fc.tuple(
      fc.constantFrom("b-1", "b-2", "b-3", "b-4") as fc.Arbitrary<RequestKey>,
      fc.nat(VMS - 1),
    ),
    { maxLength: 4 },
  ),
  delays: fc.array(fc.nat(MAX_REPORT_DELAY_MS), { minLength: 1, maxLength: 3 }),
  pauseMs: fc.nat(2_000),
});

describe("crash histories of several VMs", () => {
  it("should agree on the culprit and never accuse a request with fewer crashes", () => {
    fc.assert(
      fc.property(
        fc.array(crashArbitrary, { minLength: 3, maxLength: 12 }),
        (crashes) => {
          const fleet = new Fleet(VMS);
          for (const { vm, bystanders, delays, pauseMs } of crashes) {
            fleet.deliver(fleet.nowMs + pauseMs);
            fleet.crashServer(vm, { request: REQUEST, bystanders, delays });
          }
          fleet.deliver(fleet.nowMs + MAX_REPORT_DELAY_MS);
          for (const each of fleet.histories) {
            for (const { id } of each.culprits) {
              // A bystander of every crash is indistinguishable from the culprit; neither is accused.
              assert.equal(id, REQUEST);
            }
          }
          const culprits = fleet.histories.map(({ culprits }) =>
            culprits.map(({ id }) => id)
          );
          for (const culprit of culprits) {
            assert.deepEqual(culprit, culprits[0]);
          }
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it("should quarantine the culprit on all VMs once three crashes have been reported", () => {
    fc.assert(
      fc.property(
        fc.array(crashArbitrary, { minLength: 3, maxLength: 3 }),
        (crashes) => {
          const fleet = new Fleet(VMS);
          for (const { vm, delays } of crashes) {
            // The caller sends the request again after it lost the response.
            fleet.deliver(fleet.nowMs + MAX_REPORT_DELAY_MS);
            fleet.crashServer(vm, { request: REQUEST, bystanders: [], delays });
          }
          fleet.deliver(fleet.nowMs + MAX_REPORT_DELAY_MS);
          for (const each of fleet.histories) {
            assert.equal(
              each.quarantineStatus(SUSPECTS, fleet.nowMs + SETTLED_MS).tag,
              "quarantined",
            );
          }
        },
      ),
      { seed: 7, numRuns: 100 },
    );
  });
});
