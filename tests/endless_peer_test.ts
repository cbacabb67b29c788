/**
 * Guards against reading responses without end from the other peers of a VM: its store, the platform of
 * the entries, other VMs and model servers. They were collected until the call timed out, which
 * for a watch of the store takes 25 s, at more than 1 GB a second.
 */

import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { Agent, request } from "undici";
import { readChatStream } from "../src/backends/chat_stream_reader.ts";
import type { RequestId } from "../src/core/ids.ts";
import { HttpObjectStore } from "../src/platform/http_object_store.ts";
import type { EndlessForm } from "./fixtures/endless_forms.ts";
import { EndlessServer } from "./fixtures/endless_server.ts";

/** Far longer than reading up to the limit takes. */
const CALL_TIMEOUT_MS = 60_000;
/** The limit, and what the socket buffers of both sides hold besides. */
const MAX_STORE_BYTES = 32 * 2 ** 20;
const MAX_EVENT_BYTES = 8 * 2 ** 20;
const BODY_FORMS: readonly EndlessForm[] = [
  "body until close",
  "chunked body",
  "body of a huge length",
  "body of an error",
];

describe("a peer whose response never ends", () => {
  for (const form of BODY_FORMS) {
    it(`should fail a call of the store: ${form}`, async () => {
      const server = new EndlessServer(form);
      const store = new HttpObjectStore(await server.listen());
      try {
        const res = await store.get({ kind: "things", name: "a" }, {
          timeoutMs: CALL_TIMEOUT_MS,
        });
        assert.equal(res.ok, false);
        const { bytes } = await server.counts();
        assert.ok(bytes <= MAX_STORE_BYTES, `${bytes} bytes`);
      } finally {
        await store.close();
        await server.close();
      }
    });
  }

  describe("as a model server of an entry", () => {
    const server = new EndlessServer("event");
    const agent = new Agent();
    let url = "";

    before(async () => {
      url = `http://${await server.listen()}/`;
    });

    after(async () => {
      await agent.destroy();
      await server.close();
    });

    it("should cut a stream whose event never ends", async () => {
      const { body } = await request(url, { dispatcher: agent });
      const events = [];
      for await (const batch of readChatStream(body, "r" as RequestId)) {
        events.push(...batch);
      }
      assert.equal(events.at(-1)?.tag, "cut");
      const { bytes } = await server.counts();
      assert.ok(bytes <= MAX_EVENT_BYTES, `${bytes} bytes`);
    });
  });
});
