import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { TRPCClient } from "@trpc/client";
import { request } from "undici";
import type { DigestRequest } from "../protocol/digest_schema.ts";
import { freePort } from "../../tests/fixtures/free_port.ts";
import type { FeedResponse } from "../protocol/store_schema.ts";
import type { DigestHandler, DigestRouter } from "./digest_router.ts";
import { DigestServer } from "./digest_server.ts";
import { VmClients } from "./vm_clients.ts";

const TIMEOUT_MS = 5_000;

let address: string;
let server: DigestServer;
let exchange: DigestHandler["exchange"];

const NO_CHANGES: FeedResponse = {
  store: { reads: true, lost: false, inTouch: true, known: [], changes: [] },
  configurationVersion: 3,
  confirmedAgeMs: 5,
  heldMs: 10,
};

beforeEach(async () => {
  address = `127.0.0.1:${await freePort()}`;
  server = new DigestServer({
    digestService: { exchange: (question) => exchange(question) },
    permitGranter: { grant: () => ({ granted: true, opensInMs: 0 }) },
    storeFeed: { next: () => Promise.resolve(NO_CHANGES) },
    requestServer: { handleForwarded: () => Promise.resolve() },
    vmSettings: { memoryMb: 350, descriptors: 4_100 },
    closedConnections: { listener: () => () => {} },
  });
  await server.listen(address);
});

afterEach(() => server.close());

/** Calls the exchange procedure as other VMs do. */
function exchangeDigest(question: unknown) {
  return call((client) => client.exchange.mutate(question as DigestRequest));
}

async function call<T>(
  invoke: (client: TRPCClient<DigestRouter>) => Promise<T>,
) {
  const clients = new VmClients();
  try {
    return await clients.call(address, { timeoutMs: TIMEOUT_MS, invoke });
  } finally {
    await clients.close();
  }
}

describe("digest server", () => {
  it("should reject an invalid digest and name the invalid field", async () => {
    exchange = () => {
      throw new Error("Unexpected call");
    };
    const answer = await exchangeDigest({ known: [] });
    assert.ok(!answer.ok);
    assert.equal(answer.error.tag, "refused");
    assert.match(answer.error.reason, /digest/);
  });

  it("should return the answer of the store feed", async () => {
    const question = { known: [], waitMs: 1_000 };
    const answer = await call((client) => client.feed.mutate(question));
    assert.deepEqual(answer, { ok: true, value: NO_CHANGES });
  });

  it("should reject bodies that are not valid JSON, and unknown paths", async () => {
    for (const path of ["/exchange", "/other"]) {
      const res = await request(`http://${address}${path}`, {
        method: "POST",
        body: "{",
      });
      await res.body.dump();
      assert.equal(res.statusCode, 400);
    }
  });
});
