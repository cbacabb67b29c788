import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import {
  GATEWAY,
  SENT_MS,
  SoakHistory,
} from "../tests/fixtures/soak_history.ts";
import type { GatewayName } from "./ids.ts";
import {
  allowedInWindow,
  COUNT_WINDOW_MS,
} from "../tests/fixtures/limit_count.ts";
import { MAX_DISCONNECTED_MS, SERVER_LIMIT_PER_S } from "./soak_settings.ts";

const PROMISE = "limits of servers";
const OTHER = "vm-2" as GatewayName;
/** From this time on requests count for a server that advertises a limit from `SENT_MS` on. */
const COUNTED_MS = SENT_MS + MAX_DISCONNECTED_MS;

let soak: SoakHistory;

beforeEach(() => {
  soak = new SoakHistory();
});

/** Records requests that reach the server, each of which it answers with its limit. */
function arrive(
  count: number,
  { gateway, fromMs, forMs }: {
    gateway: GatewayName;
    fromMs: number;
    forMs: number;
  },
): void {
  for (let n = 0; n < count; n++) {
    const attempt = `${gateway}/${fromMs}/${n}`;
    const atMs = fromMs + n * forMs / count;
    const kind = "stream" as const;
    soak.addRequest({ attempt, gateway, sentMs: atMs, endMs: atMs + 50, kind });
    soak.addRun({ attempt, atMs });
    soak.history.limitNotices.push({ server: "s-1", attempt, atMs });
  }
}

/** Half of the requests that are allowed in a span. */
const HALF = allowedInWindow(SERVER_LIMIT_PER_S) / 2;

describe("check of advertised rate limits", () => {
  it("should count requests of all gateways that have received the limit", () => {
    const span = { fromMs: COUNTED_MS, forMs: COUNT_WINDOW_MS - 100 };
    for (const gateway of [GATEWAY, OTHER]) {
      arrive(1, { gateway, fromMs: SENT_MS, forMs: 1 });
      arrive(Math.floor(HALF), { ...span, gateway });
    }
    assert.equal(soak.broken().includes(PROMISE), false);
    arrive(2, { fromMs: COUNTED_MS + 1, forMs: 100, gateway: OTHER });
    assert.ok(soak.broken().includes(PROMISE));
  });

  it("should not count gateways that have not received the limit or were frozen, or requests soon after it was first advertised", () => {
    arrive(10 * HALF, { gateway: GATEWAY, fromMs: SENT_MS, forMs: 1_000 });
    assert.equal(soak.broken().includes(PROMISE), false);
    const span = { fromMs: COUNTED_MS, forMs: 400 };
    arrive(3 * HALF, { ...span, gateway: OTHER });
    assert.equal(soak.broken().includes(PROMISE), false);
    arrive(3 * HALF, { ...span, gateway: GATEWAY });
    assert.ok(soak.broken().includes(PROMISE));
    soak.history.faultWindows.push({
      name: "freeze",
      target: GATEWAY,
      fromMs: SENT_MS,
      untilMs: SENT_MS + 500,
    });
    assert.equal(soak.broken().includes(PROMISE), false);
  });
});
