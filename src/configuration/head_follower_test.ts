import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HEAD_KEY } from "../core/config/stored_configuration.ts";
import { PlatformContact } from "../core/config/platform_contact.ts";
import { Freshness } from "../core/config/freshness.ts";
import { NO_REVISION, type Revision } from "../core/ids.ts";
import { ok } from "../core/result.ts";
import { EntryMetrics } from "../metrics/entry_metrics.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { HeadFollower } from "./head_follower.ts";

type Deps = ConstructorParameters<typeof HeadFollower>[0];

/** Creates a follower whose watches never report a change, although the head is at `version`. */
function fixture(state: { version: number }) {
  const head = () => ({
    revision: state.version,
    objects: [],
    accepted: [],
    accepted_at_ms: 0,
  });
  const appliedRevisions: number[] = [];
  const freshness = new Freshness();
  const store = { revision: NO_REVISION, head: undefined };
  const follower = new HeadFollower(
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
          appliedRevisions.push(revision) > 0,
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
  return { follower, freshness, appliedRevisions };
}

describe("head follower", () => {
  it("should read the head after a watch without events", async () => {
    const { follower, appliedRevisions } = fixture({ version: 7 });
    await follower.refresh("watch", 10);
    assert.deepEqual(appliedRevisions, [7]);
  });

  it("should confirm the configuration by reading the head", async () => {
    const { follower, freshness, appliedRevisions } = fixture({ version: 3 });
    assert.equal(await follower.refresh("confirm", 0), true);
    assert.deepEqual(appliedRevisions, [3]);
    assert.equal(freshness.isFresh(1_000), true);
  });

  // Guards against a delayed response, read before a change, that confirms the configuration for
  // the time after the change: any version up to the known one used to count as a confirmation.
  it("should not confirm the configuration by reading an earlier head", async () => {
    const state = { version: 7 };
    const { follower } = fixture(state);
    assert.equal(await follower.refresh("confirm", 0), true);
    state.version = 6;
    assert.equal(await follower.refresh("confirm", 0), false);
  });
});
