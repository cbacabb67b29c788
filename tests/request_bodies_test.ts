/**
 * Guards against request bodies that take a VM over its memory. While servers read slowly, bodies
 * pile up; each was kept as long as its request ran, and nothing limited their sum, until the
 * platform ended the process with all requests that it had.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { request } from "undici";
import {
  answerBytes,
  ATTEMPT,
  HOST,
  KEY,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const BODY = Buffer.alloc(2_000_000, "x");
/** Far more than a VM may keep in its memory of 350 MB. */
const REQUESTS = 60;
const WAIT_MS = 2_000;

describe("request bodies that wait for slow servers", () => {
  // Guards against LOST: requests of a process that went over its memory.
  it("should be refused at once beyond a share of the memory, small ones excepted", async () => {
    const gateway = new TestGateway();
    try {
      await gateway.start([routeWire({ RouteType: "non_idempotent" })]);
      let isSlow = false;
      await gateway.addServer("i-1", ({ text, socket }) => {
        if (isSlow && text.startsWith("POST")) return;
        socket.write(answerBytes());
      }, { Slots: 2 * REQUESTS });
      const isServed = async () =>
        (await gateway.call("/stock/first")).status === 200;
      await until(isServed);
      isSlow = true;
      const post = async (n: number) => {
        const res = await request(`http://${gateway.address}/stock/${n}`, {
          method: "POST",
          body: BODY,
          headers: {
            host: HOST,
            authorization: `Bearer ${KEY}`,
            "fieldrack-attempt-id": ATTEMPT,
            "fieldrack-deadline-ms": String(WAIT_MS),
          },
        });
        return { status: res.statusCode, body: await res.body.text() };
      };
      const posts = Array.from({ length: REQUESTS }, (_, n) => post(n));
      const refused = posts.map((call) =>
        call.then(({ status, body }) =>
          status === 503 && body.includes("bodies_full") ? 1 : 0
        )
      );
      await Promise.race(posts);
      assert.ok(await isServed());
      const count = (await Promise.all(refused)).reduce<number>(
        (sum, one) => sum + one,
        0,
      );
      assert.ok(count > 0 && count < REQUESTS, `${count} refused`);
      isSlow = false;
      assert.equal((await post(REQUESTS)).status, 200);
    } finally {
      await gateway.stop();
    }
  });
});
