/**
 * Guards against servers whose bytes never end, in a head or a body.
 *
 * Seen: one such server among six cost a fifth of the requests (504 at their deadline, or cut), took
 * up to 5 GB in 6 s and 1 GB of this process's memory.
 * How: bodies were collected without a limit, every byte counted as progress, and an attempt ended only at
 * the deadline of its request, when nothing was left for another server.
 * Cause: bytes were taken for progress of a response.
 * Proof: each place of a response at which bytes may never end, on both kinds of routes: all requests are
 * served by the sound servers, and the other one delivers a limited number of bytes.
 */

import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, it } from "node:test";
import { ENDLESS_FORMS, type EndlessForm } from "../fixtures/endless_forms.ts";
import { EndlessServer } from "../fixtures/endless_server.ts";
import {
  answerBytes,
  ATTEMPT,
  routeWire,
  serverWire,
  STREAM_ROUTE,
  streamAnswerBytes,
  TestGateway,
} from "../fixtures/test_gateway.ts";
import { until } from "../fixtures/test_fleet.ts";

const REQUESTS = 30;
const REQUEST_INTERVAL_MS = 20;
const SOUND_SERVERS = 2;
/** Requests that may reach the endless server before it is ejected, and for trials later. */
const MAX_ATTEMPTS = REQUESTS / 3;
/** What an attempt may read, and what the socket buffers of both sides hold besides. */
const MAX_BYTES_PER_ATTEMPT = 32 * 2 ** 20;
const LARGE_BODY_BYTES = 6 * 2 ** 20;
const EVENT = "id: 1\ndata: a\n\n";

let gateway: TestGateway;
let endless: EndlessServer | undefined;

interface Outcome {
  readonly status: number;
  readonly body: string;
}

async function play(form: EndlessForm, isStream: boolean): Promise<Outcome[]> {
  gateway = new TestGateway();
  const route = isStream ? STREAM_ROUTE : routeWire({ MaxAttempts: 3 });
  await gateway.start([route], { retryWindowMs: 1_000 });
  for (let n = 0; n < SOUND_SERVERS; n++) {
    await gateway.addServer(`s-${n}`, ({ text, socket }) => {
      if (text.startsWith("GET /-/")) {
        socket.write(answerBytes({ body: "{}" }));
        return;
      }
      socket.write(
        isStream
          ? streamAnswerBytes({ attempt: ATTEMPT, confidence: 90 })
          : answerBytes(),
      );
    });
  }
  await until(async () => (await gateway.call("/stock/a")).status === 200);
  endless = new EndlessServer(form);
  gateway.store.objects.put("servers", {
    name: "endless",
    spec: serverWire(await endless.listen()),
  });
  const outcomes: Promise<Outcome>[] = [];
  for (let n = 0; n < REQUESTS; n++) {
    outcomes.push(call(n));
    await pause(REQUEST_INTERVAL_MS);
  }
  return await Promise.all(outcomes);
}

async function call(n: number): Promise<Outcome> {
  try {
    return await gateway.call(`/stock/${n}`);
  } catch (err) {
    return { status: 0, body: (err as Error).message };
  }
}

/** Events that hold a comment only are proper, and tell the caller nothing. */
function withoutComments(body: string): string {
  return body.replaceAll(": \n\n", "");
}

describe("a server whose bytes never end", () => {
  afterEach(async () => {
    await gateway.stop();
    await endless?.close();
    endless = undefined;
  });

  for (const isStream of [false, true]) {
    const route = isStream ? "streaming" : "idempotent";
    for (const form of ENDLESS_FORMS) {
      it(`should cost no request of a ${route} route: ${form}`, async () => {
        const outcomes = await play(form, isStream);
        const lost = outcomes.filter(({ status, body }) =>
          status !== 200 || withoutComments(body) !== (isStream ? EVENT : "ok")
        );
        const described = lost.map(({ status, body }) =>
          `${status} ${body.slice(0, 80)}`
        );
        assert.deepEqual(described, []);
        assert.ok(endless !== undefined);
        const server = endless;
        // The server learns of closed connections, and of those that ask for its report, after the responses.
        await until(async () => (await server.counts()).open === 0);
        const { requests, bytes } = await server.counts();
        assert.ok(requests > 0);
        assert.ok(requests <= MAX_ATTEMPTS, `${requests} attempts`);
        assert.ok(
          bytes <= requests * MAX_BYTES_PER_ATTEMPT,
          `${bytes} bytes in ${requests} attempts`,
        );
      });
    }
  }

  it("should not be taken for one that sends a large proper response", async () => {
    gateway = new TestGateway();
    await gateway.start([routeWire()]);
    const body = "y".repeat(LARGE_BODY_BYTES);
    await gateway.addServer("s-0", ({ socket }) => {
      socket.write(answerBytes({ body }));
    });
    await until(async () => (await gateway.call("/stock/a")).status === 200);
    assert.equal((await gateway.call("/stock/b")).body.length, body.length);
  });
});
