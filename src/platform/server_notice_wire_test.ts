import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { decodeServerNotice } from "./server_notice_wire.ts";

const DATE = "Thu, 03 Dec 2026 04:00:00 GMT";
const LATER = "Thu, 03 Dec 2026 04:00:07 GMT";

/** Values of `retry-after` and the backoff that each requests, in milliseconds. */
const BACKOFFS: readonly [string | string[], number][] = [
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

/** Values of `server-limit` and the rate limit that each sets, in requests per second. */
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

describe("decodeServerNotice", () => {
  for (const [value, restMs] of BACKOFFS) {
    it(`should decode a backoff of ${restMs} ms from "${value}"`, () => {
      const headers = { "retry-after": value, date: DATE };
      assert.equal(decodeServerNotice(503, headers).restMs, restMs);
    });
  }

  it("should ignore a retry-after date if the response has no date header", () => {
    assert.equal(decodeServerNotice(503, { "retry-after": LATER }).restMs, 0);
  });

  it("should decode a backoff only from status 503", () => {
    for (const status of [200, 400, 421, 429, 500, 502, 504]) {
      const notice = decodeServerNotice(status, { "retry-after": "3" });
      assert.equal(notice.restMs, 0);
    }
  });

  it("should decode that the server is leaving from any status", () => {
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
    it(`should decode a rate limit of ${limitPerS} from "${value}"`, () => {
      for (const status of [200, 429, 500, 503]) {
        const headers = { "server-limit": value };
        assert.equal(decodeServerNotice(status, headers).limitPerS, limitPerS);
      }
    });
  }

  it("should accept any header values and never return a negative backoff or limit", () => {
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

  it("should decode how many rejections a server bears, in any answer", () => {
    for (const status of [200, 503]) {
      const headers = { "server-brittle": "3" };
      assert.equal(decodeServerNotice(status, headers).bearsPerS, 3);
      assert.equal(decodeServerNotice(status, {}).bearsPerS, undefined);
      const invalid = { "server-brittle": "few" };
      assert.equal(decodeServerNotice(status, invalid).bearsPerS, undefined);
    }
  });
});
