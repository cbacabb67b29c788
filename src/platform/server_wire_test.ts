import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { decodeServer } from "./server_wire.ts";

const ENTRY = {
  Service: "tracker",
  Address: "10.0.0.1:8080",
  Zone: "north",
  Version: "v1",
  Slots: 6,
  State: "ready",
  WarmupLeftMs: 0,
  born: 1_700_000_000_000,
  Sequence: 4,
};

/** Entries may come from another writer: none of these names a server to use. */
const UNREADABLE: readonly (readonly [string, unknown])[] = [
  ["nothing", undefined],
  ["text", "ready"],
  ["a list", [ENTRY]],
  ["no service", { ...ENTRY, Service: undefined }],
  ["no address", { ...ENTRY, Address: undefined }],
  ["a host name", { ...ENTRY, Address: "server:8080" }],
  ["no port", { ...ENTRY, Address: "10.0.0.1" }],
  ["a port beyond all", { ...ENTRY, Address: "10.0.0.1:80800" }],
  ["no data centre", { ...ENTRY, Zone: undefined }],
  ["no state", { ...ENTRY, State: undefined }],
  ["a state that is not known", { ...ENTRY, State: "resting" }],
  ["a state of another type", { ...ENTRY, State: 1 }],
  ["slots as text", { ...ENTRY, Slots: "6" }],
  ["a release of another type", { ...ENTRY, Version: 2 }],
];

describe("entry of a server", () => {
  it("should be decoded as it is written", () => {
    const decoded = decodeServer("i-1", ENTRY);
    assert.ok(decoded.ok);
    assert.equal(decoded.value.bornMs, ENTRY.born);
    assert.equal(decoded.value.state, "ready");
  });

  for (const [what, spec] of UNREADABLE) {
    it(`should name no server with ${what}`, () => {
      assert.equal(decodeServer("i-1", spec).ok, false);
    });
  }

  it("should name a server without a life where its birth is missing or wrong", () => {
    for (const born of [undefined, "now", -1, 1.5, null]) {
      const decoded = decodeServer("i-1", { ...ENTRY, born });
      assert.ok(decoded.ok);
      assert.equal(decoded.value.bornMs, undefined);
    }
  });

  it("should not throw, whatever another writer has left", () => {
    fc.assert(
      fc.property(
        fc.anything(),
        fc.dictionary(
          fc.constantFrom(...Object.keys(ENTRY)),
          fc.anything(),
        ),
        (any, patch) => {
          decodeServer("i-1", any);
          decodeServer("i-1", { ...ENTRY, ...patch });
        },
      ),
      { seed: 7, numRuns: 500 },
    );
  });
});
