import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HEAD_KEY } from "../core/config/stored_configuration.ts";
import { PlatformContact } from "../core/config/platform_contact.ts";
import { Freshness } from "../core/config/freshness.ts";
import { NO_REVISION, type Revision } from "../core/ids.ts";
import { ok } from "../core/result.ts";
import { EntryMetrics } from "../metrics/entry_metrics.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { ConfigurationFollower } from "./configuration_follower.ts";

type Deps = ConstructorParameters<typeof ConfigurationFollower>[0];

/** A follower whose watches never hear anything, though the head is at `version`. */
function fixture(state: { version: number }) {
  const head = () => ({
    revision: state.version,
    objects: [],
    accepted: [],
    accepted_at_ms: 0,
  });
  const taken: number[] = [];
  const freshness = new Freshness();
  const store = { revision: NO_REVISION, head: undefined };
  const follower = new ConfigurationFollower(
    {
      platform: {
        watch: () => Promise.resolve(ok(undefined)),
        get: () =>
          Promise.resolve(
            ok({
              key: HEAD_KEY,
              version: state.version,
              value: JSON.stringify(head()),
            }),
          ),
      },
      configurationStore: {
        ...store,
        offer: ({ revision }: { revision: Revision }) =>
          taken.push(revision) > 0,
      },
      configurationLoader: { load: () => Promise.resolve(ok(head())) },
      memberTable: {
        others: () => [],
        self: { data_centre: "north", revision: NO_REVISION },
        setOwnRevision: () => {},
      },
      prober: { announce: () => Promise.resolve() },
      freshness,
      platformContact: new PlatformContact(),
      clock: { monotonicMs: () => 1_000, wallMs: () => 0 },
      entryMetrics: new EntryMetrics(),
      logger: new SilentLogger(),
    } as unknown as Deps,
  );
  return { follower, freshness, taken };
}

describe("configuration follower", () => {
  it("should not take a watch that hears nothing for a confirmation", async () => {
    const { follower, taken } = fixture({ version: 7 });
    await follower.ask("watch", 10);
    assert.deepEqual(taken, [7]);
  });

  it("should confirm by a read of the head", async () => {
    const { follower, freshness, taken } = fixture({ version: 3 });
    assert.equal(await follower.ask("confirm", 0), true);
    assert.deepEqual(taken, [3]);
    assert.equal(freshness.isFresh(1_000), true);
  });

  // Found by reading: any answer at or below the known version confirmed, so that one from
  // before a change, as by a reply that was long on its way, vouched for the time after it.
  it("should not be confirmed by a read of an earlier head", async () => {
    const state = { version: 7 };
    const { follower } = fixture(state);
    assert.equal(await follower.ask("confirm", 0), true);
    state.version = 6;
    assert.equal(await follower.ask("confirm", 0), false);
  });
});
