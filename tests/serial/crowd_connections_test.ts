/**
 * Guards against connections that use up the descriptors of the process: none was left for ordinary
 * callers, for servers or for the store.
 */

import { describe } from "node:test";
import { head, itShouldServeBeside, ORDINARY } from "../fixtures/crowd_case.ts";
import { type Listener, SERVED_PATH } from "../fixtures/limited_gateway.ts";

const KIB = 1_024;
/** More than the descriptors that the VM has for sockets. */
const CONNECTIONS = 600;
const LISTENERS: readonly Listener[] = [
  "callers",
  "readiness",
  "addresses",
  "metrics",
  "peers",
];
const SILENT = {
  connections: CONNECTIONS,
  prefix: "",
  unit: "",
  repeat: 0,
  reconnects: true,
};

describe("a gateway beside many connections", () => {
  for (const at of LISTENERS) {
    itShouldServeBeside({
      ...SILENT,
      name: "connections that say nothing",
      at,
    });
  }
  for (const at of LISTENERS) {
    itShouldServeBeside({
      ...SILENT,
      name: "connections with half a head",
      at,
      prefix: `GET ${SERVED_PATH} HTTP/1.1\r\nhost: a\r\nx: `,
      unit: "y",
      repeat: 8 * KIB,
    });
  }
  itShouldServeBeside({
    ...SILENT,
    name: "connections that rest after a request",
    at: "callers",
    prefix: head("GET", SERVED_PATH, ORDINARY),
    reads: true,
  });
});
