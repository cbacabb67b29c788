import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { decodeServerNotice } from "./server_notice_wire.ts";

const DATE = "Thu, 03 Dec 2026 04:00:00 GMT";
const LATER = "Thu, 03 Dec 2026 04:00:07 GMT";

/** Values of the header and the rest that each asks for, in milliseconds. */
const RESTS: readonly [string | string[], number][] = [
  ["3", 3_000],
  ["0.25", 250],
  [".5", 500],
  ["2.", 2_000],
  [" 3 ", 3_000],
  ["0", 0],
  ["", 0],
  ["-3", 0],
  ["+3", 0],
  ["soon", 0],
  ["3 s", 0],
  ["0x10", 0],
  ["1e3", 0],
  ["Infinity", 0],
  ["NaN", 0],
  ["1, 3", 3_000],
  [["3", "1"], 3_000],
  [["soon", "2"], 2_000],
  ["86400", 86_400_000],
  [LATER, 7_000],
  ["Thu, 03 Dec 2026 03:59:00 GMT", 0],
];

/** Values of the header and the requests a second that each names. */
const LIMITS: readonly [string | string[] | undefined, number | undefined][] = [
  [undefined, undefined],
  ["2.1", 2.1],
  ["0", 0],
  [" .5 ", 0.5],
  ["1000000", 1_000_000],
  ["", undefined],
  ["-1", undefined],
  ["some", undefined],
  ["1e3", undefined],
  ["NaN", undefined],
  ["9".repeat(400), undefined],
  [["3", "1.5"], 1.5],
  ["3, 1.5", 1.5],
  [["many", "2"], 2],
];

describe("a server's notice", () => {
  for (const [value, restMs] of RESTS) {
    it(`should ask for ${restMs} ms by "${value}"`, () => {
      const headers = { "retry-after": value, date: DATE };
      assert.equal(decodeServerNotice(503, headers).restMs, restMs);
    });
  }

  it("should read no moment where the server does not tell its time", () => {
    assert.equal(decodeServerNotice(503, { "retry-after": LATER }).restMs, 0);
  });

  it("should ask for rest by 503 only", () => {
    for (const status of [200, 400, 421, 429, 500, 502, 504]) {
      const notice = decodeServerNotice(status, { "retry-after": "3" });
      assert.equal(notice.restMs, 0);
    }
  });

  it("should say by every status that the server leaves", () => {
    for (const status of [200, 404, 429, 500, 503]) {
      const headers = { "server-leaving": "1" };
      assert.ok(decodeServerNotice(status, headers).leaves);
    }
    assert.ok(decodeServerNotice(200, { "server-leaving": ["0", "1"] }).leaves);
    for (const value of [undefined, "", "0", "no", "11"]) {
      const headers = { "server-leaving": value };
      assert.equal(decodeServerNotice(200, headers).leaves, false);
    }
  });

  for (const [value, limitPerS] of LIMITS) {
    it(`should name a limit of ${limitPerS} by "${value}"`, () => {
      for (const status of [200, 429, 500, 503]) {
        const headers = { "server-limit": value };
        assert.equal(decodeServerNotice(status, headers).limitPerS, limitPerS);
      }
    });
  }

  it("should be read from any bytes, and never ask for less than nothing", () => {
    const texts = fc.oneof(
      fc.string(),
      fc.double().map(String),
      fc.integer().map(String),
      fc.date().map(String),
    );
    fc.assert(fc.property(texts, texts, (value, date) => {
      const headers = { "retry-after": value, date, "server-limit": value };
      const { restMs, limitPerS = 0 } = decodeServerNotice(503, headers);
      assert.ok(restMs >= 0 && !Number.isNaN(restMs));
      assert.ok(limitPerS >= 0 && Number.isFinite(limitPerS));
    }));
  });
});
