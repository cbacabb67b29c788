import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { RETRY_BOUND } from "../tests/fixtures/retry_count.ts";
import { SENT_MS, SoakHistory } from "../tests/fixtures/soak_history.ts";

const PROMISE = "retries of all gateways";
const REQUESTS = 100;
const ALLOWED = RETRY_BOUND.ratio * REQUESTS + RETRY_BOUND.allowance;

let soak: SoakHistory;

beforeEach(() => {
  soak = new SoakHistory();
  for (let n = 0; n < REQUESTS; n++) {
    soak.addRequest({ attempt: `a-${n}`, sentMs: SENT_MS + n });
    arrive(n, SENT_MS + n);
  }
});

function arrive(request: number, atMs: number): void {
  soak.history.arrivals.push({ attempt: `a-${request}`, atMs });
}

/** Records successive retries, each of a different request than the one before. */
function retry(count: number, fromMs: number): void {
  for (let n = 0; n < count; n++) arrive(n % REQUESTS, fromMs + n);
}

describe("check of the retries of all gateways", () => {
  it("should count all arrivals of a request after its first, rejected or not", () => {
    retry(ALLOWED, SENT_MS + 1_000);
    assert.equal(soak.broken().includes(PROMISE), false);
    retry(1, SENT_MS + 2_000);
    assert.ok(soak.broken().includes(PROMISE));
  });

  it("should let requests of the previous window allow retries as well", () => {
    retry(ALLOWED, SENT_MS + RETRY_BOUND.windowMs - 1_000);
    assert.equal(soak.broken().includes(PROMISE), false);
  });

  it("should not let older requests allow retries", () => {
    retry(ALLOWED, SENT_MS + 3 * RETRY_BOUND.windowMs);
    assert.ok(soak.broken().includes(PROMISE));
  });

  it("should find windows that begin within others", () => {
    retry(ALLOWED, SENT_MS + 1_000);
    retry(ALLOWED, SENT_MS + 1_000 + RETRY_BOUND.windowMs - 100);
    assert.ok(soak.broken().includes(PROMISE));
  });
});
