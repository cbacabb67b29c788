/**
 * Guards against the optimization of undici's response parser, for which V8 takes 40 MB in the
 * background: beside bodies that fill their share, the process exceeded the memory of its VM.
 */

import { describe, it } from "node:test";
import { Crowd } from "../fixtures/crowd.ts";
import {
  chunkedHead,
  LARGE_CHUNK,
  LARGE_CHUNK_BYTES,
  MAX_BODY_BYTES,
} from "../fixtures/crowd_case.ts";
import { LimitedGateway } from "../fixtures/limited_gateway.ts";
import { until } from "../fixtures/test_fleet.ts";

/** By default V8 optimizes the parser among the first responses, before the bodies have arrived. */
const DELAYED_OPTIMIZATION = "--wasm-tiering-budget=100000000";
/** Enough for V8 to optimize the parser in spite of the delay. */
const REQUESTS = 100;

describe("a gateway whose response parser is used often", () => {
  it("should stay within its memory beside large bodies", async (t) => {
    const gateway = new LimitedGateway({ v8Flags: [DELAYED_OPTIMIZATION] });
    let crowd: Crowd | undefined;
    try {
      await gateway.start();
      crowd = new Crowd({
        address: gateway.address("callers"),
        connections: 100,
        prefix: chunkedHead(),
        unit: LARGE_CHUNK,
        repeat: MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1,
      });
      await crowd.settled();
      for (let n = 0; n < REQUESTS; n++) {
        await until(async () => await gateway.call() === 200);
      }
      t.diagnostic(gateway.describe());
      gateway.assertWithinLimits();
    } finally {
      await crowd?.disperse();
      await gateway.stop();
    }
  });
});
