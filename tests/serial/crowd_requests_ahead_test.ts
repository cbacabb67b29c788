/**
 * Guards against requests that are sent ahead while answers stay unread. One read held thousands of
 * them, each became a request, a response and log lines before the first was answered, and the process ran
 * out of memory.
 */

import { describe } from "node:test";
import {
  type CrowdCase,
  head,
  HOST_ONLY,
  itShouldServeBeside,
  ORDINARY,
  SMALLEST_CHUNK,
} from "../fixtures/crowd_case.ts";
import {
  LARGE_PATH,
  type Listener,
  READY_PATH,
  SERVED_PATH,
  STALLED_PATH,
} from "../fixtures/limited_gateway.ts";

const AHEAD = { connections: 10, repeat: 50_000, prefix: "" };
const BARE = "GET / HTTP/1.1\r\n\r\n";
/** Requests that are answered immediately take less for each connection. */
const MANY = { connections: 100 };
const INTERIM = head(
  "POST",
  "/",
  `${HOST_ONLY}expect: 100-continue\r\ncontent-length: 0\r\n`,
);
const UPGRADE = head(
  "GET",
  "/",
  `${HOST_ONLY}connection: upgrade\r\nupgrade: websocket\r\n`,
);
/** Control listeners are alike. */
const LISTENERS: readonly Listener[] = ["callers", "readiness", "peers"];
const FORMS:
  readonly (Pick<CrowdCase, "name" | "at" | "unit"> & Partial<CrowdCase>)[] = [
    { ...MANY, name: "without headers", at: "callers", unit: BARE },
    {
      name: "with a host alone",
      at: "callers",
      unit: head("GET", "/", HOST_ONLY),
    },
    {
      name: "in HTTP/1.0",
      at: "callers",
      unit: "GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
    },
    ...LISTENERS.flatMap((at) => [
      { ...MANY, name: "that expect an interim response", at, unit: INTERIM },
      { ...MANY, name: "that ask for an upgrade", at, unit: UPGRADE },
    ]),
    {
      name: "with chunked bodies",
      at: "callers",
      unit: `${
        head("POST", "/", `${HOST_ONLY}transfer-encoding: chunked\r\n`)
      }${SMALLEST_CHUNK}0\r\n\r\n`,
    },
    {
      name: "at the path that says ready",
      at: "callers",
      unit: head("GET", READY_PATH, HOST_ONLY),
    },
    {
      name: "that are served",
      at: "callers",
      unit: head("GET", SERVED_PATH, ORDINARY),
    },
    {
      ...MANY,
      name: "at the path that says ready",
      at: "readiness",
      unit: head("GET", READY_PATH, HOST_ONLY),
    },
    { ...MANY, name: "without headers", at: "readiness", unit: BARE },
    {
      ...MANY,
      name: "for addresses",
      at: "addresses",
      unit: head("GET", "/-/resolve?Zone=north", HOST_ONLY),
    },
    {
      name: "for metrics",
      at: "metrics",
      unit: head("GET", "/metrics", HOST_ONLY),
    },
    {
      ...MANY,
      name: "of no peer",
      at: "peers",
      unit: head("GET", "/", HOST_ONLY),
    },
  ];

describe("a gateway beside requests sent ahead, answers unread", () => {
  for (const form of FORMS) {
    const name = `requests ahead ${form.name}`;
    itShouldServeBeside({ ...AHEAD, ...form, name });
  }
  itShouldServeBeside({
    name: "large responses that are not read",
    at: "callers",
    connections: 150,
    prefix: head("GET", LARGE_PATH, ORDINARY),
    unit: "",
    repeat: 0,
  });
  itShouldServeBeside({
    name: "large responses that servers do not complete",
    at: "callers",
    connections: 150,
    prefix: head("GET", STALLED_PATH, ORDINARY),
    unit: "",
    repeat: 0,
  });
  itShouldServeBeside({
    name: "many large responses that servers do not complete",
    at: "callers",
    descriptors: 1_200,
    connections: 350,
    prefix: head("GET", STALLED_PATH, ORDINARY),
    unit: "",
    repeat: 0,
  });
  itShouldServeBeside({
    name: "requests ahead for large responses",
    at: "callers",
    connections: 100,
    prefix: "",
    unit: head("GET", LARGE_PATH, ORDINARY),
    repeat: 20,
  });
});
