import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { serverRecord } from "../../tests/fixtures/server_record.ts";
import type { InstanceId, ReleaseId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { AttemptSender, type AttemptSenderDeps } from "./attempt_sender.ts";
import type { AdmittedRequest } from "./request_admission.ts";
import type { SelectionCriteria } from "./server_selector.ts";

const SERVERS: readonly ServerRecord[] = ["canary-1", "canary-2", "stable-1"]
  .map((name, at) =>
    serverRecord(name, {
      address: `10.0.0.${at}:80`,
      release: name.split("-")[0] as ReleaseId,
    })
  );
const ADMITTED = {
  table: { service: () => undefined },
} as unknown as AdmittedRequest;

/** Chooses among the servers of the canary first, as for a session that is pinned to it. */
function choose({ tried, avoided }: SelectionCriteria) {
  for (const release of ["canary", "stable"]) {
    const untried = SERVERS.filter((one) =>
      one.release === release && !tried.has(one.instance)
    );
    const preferred = untried.find(({ address }) => !avoided.has(address));
    if (untried.length > 0) return preferred ?? untried[0];
  }
  return undefined;
}

function chosenBeside(
  occupied: readonly string[],
  crashed: readonly string[] = [],
): string | undefined {
  const deps = {
    serverSelector: { choose },
    suspectPlacement: {
      occupiedServers: new Set(occupied as readonly InstanceId[]),
    },
    workPredictor: { predict: () => ({ sharedPrefillMs: 0 }) },
  } as unknown as AttemptSenderDeps;
  const request = { exchange: {}, models: {} } as never;
  return new AttemptSender(deps, request).chooseOtherServer(ADMITTED, {
    allowTried: false,
    isolate: true,
    crashed: new Set(crashed),
  })?.instance;
}

describe("server for a request that is suspected of crashing servers", () => {
  it("should run no other suspect, if its release has one", () => {
    assert.equal(chosenBeside(["canary-1"]), "canary-2");
  });

  // Guards against PINNED: isolation moved sessions of a canary with few servers to the old release.
  it("should be of the release of its session, even if all of them run suspects", () => {
    assert.equal(chosenBeside(["canary-1", "canary-2"]), "canary-1");
  });

  it("should rather be one that has not crashed than one without other suspects", () => {
    assert.equal(chosenBeside(["canary-1"], ["10.0.0.1:80"]), "canary-1");
    assert.equal(
      chosenBeside(["canary-1"], ["10.0.0.0:80", "10.0.0.1:80"]),
      "canary-2",
    );
  });
});
