import assert from "node:assert/strict";
import { describe, test } from "node:test";
import fc from "fast-check";
import { unitHash } from "../../runtime/hashing.ts";
import type {
  BackendServer,
  Configuration,
  Model,
} from "../config/configuration.ts";
import { EMPTY_CONFIGURATION } from "../config/configuration.ts";
import { ConfigurationIndex } from "../config/configuration_index.ts";
import type { BackendId, DataCentreId, EntryId, Revision } from "../ids.ts";
import { PowerOfTwoChooser } from "./server_chooser.ts";
import { ServerPool } from "./server_pool.ts";
import { chooseSubset } from "./server_subset.ts";
import { versionsInOrder } from "./version_choice.ts";

function server(id: string, data_centre = "qc-hall"): BackendServer {
  return {
    id,
    data_centre,
    url: "",
    versions: [],
    slots: 4,
  } as unknown as BackendServer;
}

const A = "a" as BackendId;

describe("a server pool", () => {
  test("should eject a server that refuses connections, and restore it later", () => {
    const pool = new ServerPool();
    pool.begin(A);
    pool.end(A, { outcome: "refused", nowMs: 0 });
    assert.equal(pool.isAvailable(A, 999), false);
    assert.equal(pool.isAvailable(A, 1_000), true);
  });

  test("should double the ejection time each time, and reset it after an answer", () => {
    const pool = new ServerPool();
    for (const nowMs of [0, 1_000]) {
      pool.begin(A);
      pool.end(A, { outcome: "refused", nowMs });
    }
    assert.equal(pool.availableInMs(A, 1_000), 2_000);
    pool.begin(A);
    pool.end(A, { outcome: "answered", nowMs: 3_000 });
    pool.begin(A);
    pool.end(A, { outcome: "refused", nowMs: 3_000 });
    assert.equal(pool.availableInMs(A, 3_000), 1_000);
  });

  test("should tolerate some failures before it ejects a server", () => {
    const pool = new ServerPool();
    for (let failure = 1; failure <= 3; failure++) {
      assert.equal(pool.isAvailable(A, 0), true);
      pool.begin(A);
      pool.end(A, { outcome: "failed", nowMs: 0 });
    }
    assert.equal(pool.isAvailable(A, 0), false);
  });

  test("should add requests sent since the last load report", () => {
    const pool = new ServerPool();
    pool.report(A, { running: 3, waiting: 1, receivedAtMs: 0 });
    pool.begin(A);
    assert.equal(pool.expectedLoad(A), 5);
  });
});

describe("power of two choices", () => {
  test("should choose the less loaded server, and never a draining or tried one", () => {
    const pool = new ServerPool();
    pool.report(A, { running: 4, waiting: 0, receivedAtMs: 0 });
    pool.setDraining(["c" as BackendId]);
    fc.assert(
      fc.property(fc.double({ min: 0, max: 0.999, noNaN: true }), (chance) => {
        const chooser = new PowerOfTwoChooser(pool, () => chance);
        const candidates = [server("a"), server("b"), server("c"), server("d")];
        const tried = new Set(["d" as BackendId]);
        assert.equal(chooser.choose({ candidates, tried, nowMs: 0 })?.id, "b");
      }),
      { seed: 2 },
    );
  });
});

describe("a subset of servers", () => {
  const input = {
    entry: "e1" as EntryId,
    dataCentre: "qc-hall" as DataCentreId,
    size: 4,
    unitHash,
  };

  test("should prefer the entry's own data centre", () => {
    const far = Array.from(
      { length: 20 },
      (_, at) => server(`far-${at}`, "pasig-hall"),
    );
    const near = [server("near-1"), server("near-2")];
    const chosen = chooseSubset([...far, ...near], input);
    assert.equal(chosen.length, 4);
    assert.equal(chosen.filter((s) => s.data_centre === "qc-hall").length, 2);
  });

  test("should change by at most one server when one is removed", () => {
    const servers = Array.from({ length: 40 }, (_, at) => server(`s-${at}`));
    const before = new Set(chooseSubset(servers, input).map((s) => s.id));
    for (const removed of servers) {
      const remaining = servers.filter((s) => s !== removed);
      const after = chooseSubset(remaining, input).filter((s) =>
        !before.has(s.id)
      );
      assert.ok(after.length <= 1);
    }
  });
});

describe("the choice of a version", () => {
  const model = {
    id: "m",
    stable: "v1",
    versions: [{ id: "v1", state: "serving" }, { id: "v2", state: "serving" }],
  } as unknown as Model;

  function versionOf(
    session: string,
    percent: number,
    chosen = model,
  ): string | undefined {
    const roll_outs = [{ id: "r", model: "m", to: "v2", percent }];
    const cfg = { ...EMPTY_CONFIGURATION, models: [chosen], roll_outs };
    const index = new ConfigurationIndex(
      1 as Revision,
      cfg as unknown as Configuration,
    );
    return versionsInOrder({
      index,
      model: chosen,
      stickyKey: session,
      unitHash,
    })[0]?.id;
  }

  test("should move a session at most once while a roll-out grows", () => {
    fc.assert(
      fc.property(
        fc.string(),
        fc.array(fc.integer({ min: 0, max: 100 })),
        (session, steps) => {
          const seen = steps.sort((a, b) => a - b).map((percent) =>
            versionOf(session, percent)
          );
          const moves = seen.filter((version, at) =>
            at > 0 && version !== seen[at - 1]
          );
          assert.ok(moves.length <= 1);
        },
      ),
      { seed: 3 },
    );
  });

  test("should move about the declared percentage of sessions", () => {
    const sessions = Array.from({ length: 2_000 }, (_, at) => `session-${at}`);
    const moved =
      sessions.filter((session) => versionOf(session, 10) === "v2").length;
    assert.ok(moved > 150 && moved < 250, `${moved} moved`);
  });

  test("should never send new requests to a withdrawn version", () => {
    const [first, second] = model.versions;
    const withdrawn = {
      ...model,
      versions: [first, { ...second, state: "withdrawn" }],
    };
    assert.equal(versionOf("session", 100, withdrawn as Model), "v1");
  });
});
