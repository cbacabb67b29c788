/**
 * Guards against retries beyond the fleet's budget where the other end of a connection is not the server.
 *
 * Seen: fleets of real processes exceeded the bound on retries; no logs were kept. Seven gateways and
 * eight server processes, a proxy before each server that holds requests for 14 s and closes or
 * refuses connections meanwhile: 994 retries were read in ten seconds, 684 allowed.
 * How: proxies, NAT gateways and load balancers accept bytes that the server reads later, also after
 * they have ended the connection towards the gateway.
 * Cause: the end of a connection, or a refused one, was taken for proof that no attempt can arrive
 * any more, so retries that lay unread were no longer limited.
 * Proof: within the bound if only responses of the server, or its restart, count as proof.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, it } from "node:test";
import { GatewayProcesses } from "./fixtures/gateway_processes.ts";
import { worstRetryWindow } from "./fixtures/retry_count.ts";
import { UNSURE_MODEL } from "./fixtures/retry_server.ts";

const SERVERS = 8;
const GATEWAYS = 7;
const REQUESTS_PER_S = 70;
/** Duration of the load before the middleboxes hold anything. */
const WARM_UP_MS = 7_000;
/** Longer than the window of the retry budget. */
const HOLD_MS = 14_000;
/** Time after the hold in which all held requests arrive. */
const RECOVERY_MS = 7_000;
/** Time after which a middlebox closes a connection that it holds. */
const CLOSE_AFTER_MS = 50;
/** Durations for which a middlebox refuses and accepts connections by turns. */
const REFUSE_MS = 200;
const ACCEPT_MS = 400;
/** Duration of the load after the start of the hold, where callers stop. */
const LAST_REQUESTS_MS = 2_000;

let fleet: GatewayProcesses;

async function startFleet(): Promise<void> {
  fleet = new GatewayProcesses({
    gateways: GATEWAYS,
    servers: Array.from({ length: SERVERS }, () => "serves" as const),
    hasServerProcesses: true,
    models: [UNSURE_MODEL, "m1", "m2"],
    hasMiddleboxes: true,
  });
  await fleet.start();
}

/** Sends load for `forMs`; `trouble` runs once the warm-up is over, with servers that reject. */
async function pressWithTrouble(
  forMs: number,
  trouble: () => Promise<void>,
): Promise<void> {
  const afterWarmUp = async () => {
    await pause(WARM_UP_MS);
    await Promise.all(
      fleet.serverProcesses.map((server) => server.setMode("rejects")),
    );
    await trouble();
    for (const middlebox of fleet.middleboxes) middlebox.release();
    await pause(RECOVERY_MS);
  };
  await Promise.all([
    fleet.sendAtRate({ perS: REQUESTS_PER_S, forMs }),
    afterWarmUp(),
  ]);
}

async function holdAndClose(): Promise<void> {
  for (const middlebox of fleet.middleboxes) {
    middlebox.hold({ closeAfterMs: CLOSE_AFTER_MS });
  }
  await pause(HOLD_MS);
}

async function holdAndRefuse(): Promise<void> {
  for (const middlebox of fleet.middleboxes) middlebox.hold();
  for (let leftMs = HOLD_MS; leftMs > 0; leftMs -= REFUSE_MS + ACCEPT_MS) {
    for (const middlebox of fleet.middleboxes) middlebox.refuse();
    await pause(REFUSE_MS);
    await Promise.all(fleet.middleboxes.map((middlebox) => middlebox.listen()));
    await pause(ACCEPT_MS);
  }
}

function assertWithinBound(): void {
  const { retries, allowed } = worstRetryWindow(fleet.recorder.history);
  assert.ok(retries <= allowed, `${retries} retries, ${allowed} allowed`);
  assert.ok(fleet.recorder.history.retriesMs.length > 0);
}

describe("retries that middleboxes hold", () => {
  afterEach(() => fleet.stop());

  // Guards against taking the end of a connection for proof that its request cannot arrive any more.
  it("should stay within the bound where middleboxes close the connections of held requests", async () => {
    await startFleet();
    await pressWithTrouble(WARM_UP_MS + HOLD_MS + RECOVERY_MS, holdAndClose);
    assertWithinBound();
  });

  // Guards against the same where no further requests pay for what arrives.
  it("should stay within the bound where callers stop while middleboxes close connections", async () => {
    await startFleet();
    await pressWithTrouble(WARM_UP_MS + LAST_REQUESTS_MS, holdAndClose);
    assertWithinBound();
  });

  // Guards against taking a refused connection for proof that nothing sent before can arrive any more.
  it("should stay within the bound where middleboxes hold requests and refuse connections", async () => {
    await startFleet();
    await pressWithTrouble(WARM_UP_MS + HOLD_MS + RECOVERY_MS, holdAndRefuse);
    assertWithinBound();
  });
});
