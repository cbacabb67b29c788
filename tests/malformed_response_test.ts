/**
 * Guards against bytes of a faulty server that reach a client as a response although they are none: a
 * status of 000, a control byte in the name of a field, a body whose end is not clear, or an HTTP version
 * that this program does not support.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { HttpPlainServices } from "../src/backends/http_plain_services.ts";
import { ResponseMemory } from "../src/backends/response_limits.ts";
import type { BackendServer } from "../src/core/config/configuration.ts";
import type { RequestId } from "../src/core/ids.ts";
import { Deadline } from "../src/runtime/deadline.ts";
import { HttpAgent } from "../src/runtime/http_agent.ts";
import { EarlyServer } from "./fixtures/early_server.ts";
import {
  ambiguousFramings,
  malformedFields,
  type MalformedResponse,
  malformedStatuses,
  type SoundHead,
  unsupportedVersions,
} from "./fixtures/malformed_heads.ts";
import { RawServer } from "./fixtures/raw_server.ts";
import { READERS } from "./fixtures/response_readers.ts";
import {
  answerBytes,
  ATTEMPT,
  routeWire,
  serverWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const MIB = 1_024 * 1_024;
const TIMEOUT_MS = 10_000;
const SOUND: SoundHead = {
  headers: `Fieldrack-Attempt-Id: ${ATTEMPT}\r\nFieldrack-Server-Seal: s\r\n`,
  body: "ok",
};
const BAD_GATEWAY = 502;

/** How the server writes its response. */
type Writer = (socket: Socket, bytes: Buffer) => Promise<void>;

const WRITERS: Readonly<Record<string, Writer>> = {
  whole: (socket, bytes) => {
    socket.end(bytes);
    return Promise.resolve();
  },
  "byte by byte": async (socket, bytes) => {
    for (const byte of bytes) {
      if (!socket.writable) return;
      await new Promise((resolve) => socket.write(Buffer.of(byte), resolve));
    }
    socket.end();
  },
};

describe("a malformed response", () => {
  let gateway: TestGateway;
  let server: RawServer;
  let address: string;
  /** What the server sends next. */
  let response: { write: Writer; bytes: string } | undefined;
  let sent = 0;

  before(async () => {
    server = new RawServer(({ text, socket }) => {
      if (response === undefined || text.startsWith("GET /-/")) {
        socket.write(answerBytes());
        return;
      }
      sent += 1;
      const { write, bytes } = response;
      void write(socket, Buffer.from(bytes, "latin1"));
    });
    address = await server.listen();
    gateway = new TestGateway();
    await gateway.start([routeWire({ RouteType: "non_idempotent" })]);
    gateway.store.objects.put("servers", {
      name: "faulty",
      spec: serverWire(address),
    });
    await until(async () => (await gateway.call("/stock/1")).status === 200);
  });

  after(async () => {
    await gateway.stop();
    await server.close();
  });

  /** Returns what a client of the gateway got that is no failure of the gateway's own. */
  async function passedOnByGateway(
    { name }: MalformedResponse,
  ): Promise<string[]> {
    const before = sent;
    // A server that fails often gets no requests for a while.
    for (;;) {
      const { status, headers, body } = await gateway.call("/stock/1");
      const isOwn = headers["fieldrack-server-seal"] === undefined;
      if (!isOwn) return [`${name}: ${status} ${body}`];
      if (sent > before) {
        return status === BAD_GATEWAY ? [] : [`${name}: ${status}`];
      }
    }
  }

  /** Returns what a client of an entry got. */
  async function passedOnByEntry(
    { name }: MalformedResponse,
  ): Promise<string[]> {
    const agent = new HttpAgent();
    const deadline = new Deadline(TIMEOUT_MS);
    const services = new HttpPlainServices(agent, new ResponseMemory(MIB));
    const res = await services.call({
      server: { url: `http://${address}` } as BackendServer,
      requestId: "r" as RequestId,
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
      deadline,
    });
    deadline.close();
    await agent.destroy();
    if (!res.ok) return [];
    return [`${name}: ${res.value.status} ${res.value.body.bytes()}`];
  }

  function checkGateway(
    title: string,
    responses: readonly MalformedResponse[],
  ): void {
    for (const [how, write] of Object.entries(WRITERS)) {
      it(`should not be passed on by a gateway: ${title}, ${how}`, async () => {
        const passedOn: string[] = [];
        for (const malformed of responses) {
          response = { write, bytes: malformed.bytes };
          passedOn.push(...await passedOnByGateway(malformed));
        }
        assert.deepEqual(passedOn, []);
      });
    }
  }

  function checkAll(
    title: string,
    responses: readonly MalformedResponse[],
  ): void {
    checkGateway(title, responses);
    for (const [how, write] of Object.entries(WRITERS)) {
      it(`should not be passed on by an entry: ${title}, ${how}`, async () => {
        const passedOn: string[] = [];
        for (const malformed of responses) {
          response = { write, bytes: malformed.bytes };
          passedOn.push(...await passedOnByEntry(malformed));
        }
        assert.deepEqual(passedOn, []);
      });
    }
  }

  checkAll("status", malformedStatuses(SOUND));
  checkAll("field of the head or of a trailer", malformedFields(SOUND));
  checkAll("framing of the body", ambiguousFramings(SOUND));
  checkGateway("HTTP version", unsupportedVersions(SOUND));
});

describe("a malformed status", () => {
  for (const [name, { body, read }] of Object.entries(READERS)) {
    it(`should not be taken for a response: ${name}`, async () => {
      const taken: string[] = [];
      for (const status of malformedStatuses({ headers: "", body })) {
        const server = new EarlyServer((socket) => socket.end(status.bytes));
        if (await read(await server.listen())) taken.push(status.name);
        await server.close();
      }
      assert.deepEqual(taken, []);
    });
  }
});
