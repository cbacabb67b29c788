import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { decodeServer, normalizeServer } from "./server_wire.ts";

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

/** Malformed entries, which may be written by others than servers. */
const MALFORMED_ENTRIES: readonly (readonly [string, unknown])[] = [
  ["nothing", undefined],
  ["text", "ready"],
  ["a list", [ENTRY]],
  ["no service", { ...ENTRY, Service: undefined }],
  ["no address", { ...ENTRY, Address: undefined }],
  ["a host name", { ...ENTRY, Address: "server:8080" }],
  ["no port", { ...ENTRY, Address: "10.0.0.1" }],
  ["a port out of range", { ...ENTRY, Address: "10.0.0.1:80800" }],
  ["no data centre", { ...ENTRY, Zone: undefined }],
  ["no state", { ...ENTRY, State: undefined }],
  ["an unknown state", { ...ENTRY, State: "resting" }],
  ["a state of another type", { ...ENTRY, State: 1 }],
  ["slots as text", { ...ENTRY, Slots: "6" }],
  ["a release of another type", { ...ENTRY, Version: 2 }],
];

describe("decodeServer", () => {
  it("should decode a valid entry", () => {
    const decoded = decodeServer("i-1", ENTRY);
    assert.ok(decoded.ok);
    assert.equal(decoded.value.bornMs, ENTRY.born);
    assert.equal(decoded.value.state, "ready");
  });

  for (const [what, spec] of MALFORMED_ENTRIES) {
    it(`should reject an entry with ${what}`, () => {
      assert.equal(decodeServer("i-1", spec).ok, false);
    });
  }

  it("should decode an entry without a start time if it is missing or malformed", () => {
    for (const born of [undefined, "now", -1, 1.5, null]) {
      const decoded = decodeServer("i-1", { ...ENTRY, born });
      assert.ok(decoded.ok);
      assert.equal(decoded.value.bornMs, undefined);
    }
  });

  it("should not throw on arbitrary entries", () => {
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

describe("normalizeServer", () => {
  // Guards against VMs that decode what another VM sends them differently from what the store holds.
  it("should keep what is decoded, also when sent to another VM, and nothing else", () => {
    const specs = [
      ENTRY,
      { ...ENTRY, born: "now" },
      { ...ENTRY, WarmupLeftMs: undefined },
      ...MALFORMED_ENTRIES.map(([, spec]) => spec),
    ];
    for (const spec of specs) {
      const normalized = normalizeServer({ spec, status: "odd" });
      const sent = JSON.parse(JSON.stringify(normalized));
      assert.deepEqual(Object.keys(sent), ["spec", "status"]);
      assert.equal(sent.status, null);
      assert.equal("Sequence" in (sent.spec ?? {}), false);
      const expected = decodeServer("i-1", spec);
      const decoded = decodeServer("i-1", sent.spec);
      assert.equal(decoded.ok, expected.ok);
      if (decoded.ok && expected.ok) {
        assert.deepEqual(decoded.value, expected.value);
      }
    }
  });
});
