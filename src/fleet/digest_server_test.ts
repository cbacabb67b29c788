import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { request } from "undici";
import type { DigestQuestion } from "../protocol/digest_schema.ts";
import { TrpcClients } from "../peers/trpc_clients.ts";
import { SocketMeter } from "../runtime/socket_meter.ts";
import { freePort } from "../../tests/fixtures/free_port.ts";
import type { DigestExchange, DigestRouter } from "./digest_router.ts";
import { DigestServer } from "./digest_server.ts";

const TIMEOUT_MS = 5_000;

let address: string;
let server: DigestServer;
let exchange: DigestExchange["exchange"];

beforeEach(async () => {
  address = `127.0.0.1:${await freePort()}`;
  server = new DigestServer({
    digestKeeper: { exchange: (question) => exchange(question) },
  });
  await server.listen(address);
});

afterEach(() => server.close());

/** Asks as other VMs do. */
async function ask(question: unknown) {
  const clients = new TrpcClients<DigestRouter>({
    meter: new SocketMeter(),
    headers: {},
    localAddress: undefined,
    packed: true,
  });
  try {
    return await clients.call(address, {
      timeoutMs: TIMEOUT_MS,
      ask: (client) => client.exchange.mutate(question as DigestQuestion),
    });
  } finally {
    await clients.close();
  }
}

describe("digest server", () => {
  it("should refuse what is no digest, with the place of the mistake", async () => {
    exchange = () => {
      throw new Error("Not asked");
    };
    const answer = await ask({ known: [] });
    assert.ok(!answer.ok);
    assert.equal(answer.error.tag, "refused");
    assert.match(answer.error.reason, /digest/);
  });

  it("should refuse bodies that are no JSON, and unknown paths", async () => {
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
