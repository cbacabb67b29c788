/**
 * Guards against an unhandled 'error' event (RequestAbortedError) that ended the entry process when
 * it abandoned a stream which the server had sent completely but of which a part was unread. undici
 * emits an error when an unread body is destroyed. It handles that event itself while the request
 * is running, but not after the last byte of the response, and the reader did not listen for it.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { after, before, describe, test } from "node:test";
import { Agent, request } from "undici";
import type { RequestId } from "../core/ids.ts";
import { readChatStream } from "./chat_stream_reader.ts";

const ID = "r" as RequestId;
const EVENT = `data: {"id":"${ID}","choices":[]}\n\n`;

describe("a stream that is abandoned", () => {
  let server: Server;
  let url: string;
  let agent: Agent;
  let finish: () => void;

  before(async () => {
    agent = new Agent();
    server = createServer((_, res) => {
      res.write(EVENT);
      finish = () => void res.end(`${EVENT}data: [DONE]\n\n`);
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    url = `http://127.0.0.1:${address.port}/`;
  });

  after(async () => {
    await agent.destroy();
    server.closeAllConnections();
    server.close();
  });

  for (const complete of [false, true]) {
    const state = complete ? "was sent completely" : "is still being sent";
    test(`should close its body without an unhandled error if it ${state}`, async () => {
      const { body } = await request(url, { dispatcher: agent });
      const stream = readChatStream(body, ID)[Symbol.asyncIterator]();
      assert.equal((await stream.next()).value?.length, 1);
      if (complete) {
        finish();
        while (body.readableLength === 0) await nextTurn();
      }
      await stream.return?.();
      await new Promise<void>((resolve) => {
        if (body.closed) resolve();
        else body.once("close", resolve);
      });
      // An 'error' event without a listener would end the process by now.
      await nextTurn();
      assert.ok(body.destroyed);
    });
  }
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
