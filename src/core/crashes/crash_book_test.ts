import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import fc from "fast-check";
import type { AccountId, RequestKey, ServerIncarnation } from "../ids.ts";
import type { Crash } from "./crash.ts";
import { CrashBook, QUARANTINE_MS } from "./crash_book.ts";

const REQUEST = "poison" as RequestKey;
/** Longer than verdicts take to settle. */
const SETTLED_MS = 1_000;

let book: CrashBook;

beforeEach(() => {
  book = new CrashBook();
});

function crash(n: number, patch: Partial<Crash> = {}): Crash {
  return {
    request: REQUEST,
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

/** Notes so many crashes, each when it happens; returns when the last did. */
function noteCrashes(count: number, first = 1): number {
  for (let n = first; n < first + count; n++) book.note(crash(n), n * 10_000);
  return (first + count - 1) * 10_000;
}

describe("book of crashes", () => {
  it("should keep a request back once three servers have ended and news has settled", () => {
    const atMs = noteCrashes(3);
    assert.equal(book.standing(REQUEST, atMs).tag, "settling");
    const standing = book.standing(REQUEST, atMs + SETTLED_MS);
    assert.deepEqual(standing, {
      tag: "quarantined",
      leftMs: QUARANTINE_MS - SETTLED_MS,
      crashes: 3,
    });
  });

  it("should count a crash once, whoever tells of it", () => {
    for (let n = 0; n < 5; n++) book.note(crash(1), 20_000 + n);
    assert.equal(book.crashesOf(REQUEST).length, 1);
    assert.equal(book.standing(REQUEST, 30_000).tag, "free");
  });

  it("should clear a request by a good end, and count anew from there", () => {
    const atMs = noteCrashes(2);
    assert.ok(book.noteGoodEnd({ request: REQUEST, atMs }, atMs));
    noteCrashes(1, 3);
    assert.equal(book.standing(REQUEST, 40_000).tag, "free");
    assert.equal(book.crashesOf(REQUEST).length, 1);
  });

  it("should not count crashes of which it learns after a later good end", () => {
    book.note(crash(1), 10_000);
    book.noteGoodEnd({ request: REQUEST, atMs: 50_000 }, 50_000);
    assert.ok(!book.note(crash(2), 60_000));
    assert.equal(book.crashesOf(REQUEST).length, 0);
  });

  it("should let a request run once when its time is over, and keep it back by one crash more", () => {
    const atMs = noteCrashes(3) + QUARANTINE_MS;
    assert.equal(book.standing(REQUEST, atMs).tag, "free");
    book.note(crash(4, { beganMs: atMs, endedMs: atMs + 50 }), atMs + 50);
    const standing = book.standing(REQUEST, atMs + SETTLED_MS);
    assert.equal(standing.tag, "quarantined");
  });

  it("should forget what is old", () => {
    noteCrashes(3);
    book.expire(2 * 3_600_000);
    assert.ok(book.isEmpty);
  });

  it("should bound its memory at the cost of the account that takes most of it", () => {
    noteCrashes(2);
    for (let n = 0; n < 3_000; n++) {
      const request = `r-${n}` as RequestKey;
      book.note(crash(n, { request, account: "many" as AccountId }), n);
    }
    assert.ok(book.size <= 1_000);
    assert.equal(book.crashesOf(REQUEST).length, 2);
  });
});

/**
 * VMs that send a request to servers, each of which ends under it, while requests of others run
 * beside and servers also fail by themselves. News between VMs comes late, twice and in any order.
 */
class Fleet {
  readonly books: readonly CrashBook[];
  readonly #news: { readonly atMs: number; readonly crash: Crash }[] = [];
  #servers = 0;
  nowMs = 0;

  constructor(vms: number) {
    this.books = Array.from({ length: vms }, () => new CrashBook());
  }

  /** One server ends under the request, and under those beside it, seen by their VMs. */
  end(
    at: number,
    { request, beside, delays }: {
      request: RequestKey | undefined;
      /** Requests beside it, with the VM of each. */
      beside: readonly (readonly [RequestKey, number])[];
      delays: readonly number[];
    },
  ): void {
    const n = ++this.#servers;
    const beganMs = this.nowMs;
    const endedMs = beganMs + 50;
    const ran = request === undefined ? beside : [[request, at], ...beside];
    const seen = ran.map(([key, vm]) => {
      const known = this.books[Number(vm)]?.crashesOf(key as RequestKey) ?? [];
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
      this.books[vm]?.note(one, endedMs);
      for (const delay of delays) {
        this.#news.push({ atMs: endedMs + delay, crash: one });
      }
    }
  }

  /** Delivers all news that has arrived by then to all VMs. */
  deliver(untilMs: number): void {
    this.nowMs = Math.max(this.nowMs, untilMs);
    const due = this.#news
      .filter(({ atMs }) => atMs <= untilMs)
      .sort((a, b) => a.atMs - b.atMs);
    for (const { crash: one, atMs } of due) {
      for (const each of this.books) each.note(one, atMs);
    }
  }
}

/** The longest that news takes, below the time in which all VMs must know. */
const NEWS_MS = 2_900;
const VMS = 4;

const endArbitrary = fc.record({
  vm: fc.nat(VMS - 1),
  beside: fc.array(
    fc.tuple(
      fc.constantFrom("b-1", "b-2", "b-3", "b-4") as fc.Arbitrary<RequestKey>,
      fc.nat(VMS - 1),
    ),
    { maxLength: 4 },
  ),
  delays: fc.array(fc.nat(NEWS_MS), { minLength: 1, maxLength: 3 }),
  pauseMs: fc.nat(2_000),
});

describe("books of several VMs", () => {
  it("should agree on the culprit, and never keep back who was beside it less often", () => {
    fc.assert(
      fc.property(
        fc.array(endArbitrary, { minLength: 3, maxLength: 12 }),
        (ends) => {
          const fleet = new Fleet(VMS);
          for (const { vm, beside, delays, pauseMs } of ends) {
            fleet.deliver(fleet.nowMs + pauseMs);
            fleet.end(vm, { request: REQUEST, beside, delays });
          }
          fleet.deliver(fleet.nowMs + NEWS_MS);
          for (const each of fleet.books) {
            for (const key of each.poison) {
              // Who was there each time cannot be told from the culprit, and is not accused.
              assert.equal(key, REQUEST);
            }
          }
          const verdicts = fleet.books.map(({ poison }) => [...poison]);
          for (const verdict of verdicts) {
            assert.deepEqual(verdict, verdicts[0]);
          }
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it("should keep the culprit back everywhere once it has ended three servers and news has come", () => {
    fc.assert(
      fc.property(
        fc.array(endArbitrary, { minLength: 3, maxLength: 3 }),
        (ends) => {
          const fleet = new Fleet(VMS);
          for (const { vm, delays } of ends) {
            // Its caller comes again when it has lost its answer.
            fleet.deliver(fleet.nowMs + NEWS_MS);
            fleet.end(vm, { request: REQUEST, beside: [], delays });
          }
          fleet.deliver(fleet.nowMs + NEWS_MS);
          for (const each of fleet.books) {
            assert.equal(
              each.standing(REQUEST, fleet.nowMs + SETTLED_MS).tag,
              "quarantined",
            );
          }
        },
      ),
      { seed: 7, numRuns: 100 },
    );
  });
});
