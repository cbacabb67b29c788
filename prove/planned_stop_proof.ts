/**
 * Proves that a planned stop interrupts no request and that a leaving backend server receives no
 * new work.
 */

import { pause } from "../src/runtime/pause.ts";
import { request } from "undici";
import { Caller } from "../tests/fixtures/caller.ts";
import { getJson, hashKey, TestFleet } from "../tests/fixtures/test_fleet.ts";
import type { Proof, ProofResult } from "./proof.ts";
import {
  type CallEvent,
  checkPlannedStop,
  MAX_WORK_AFTER_LEAVING_MS,
  type PlannedStopHistory,
} from "./planned_stop_history.ts";

const KEY = "key-of-the-proof";
const DATA_CENTRES = ["qc-hall", "pasig-hall", "laguna-hall"];
const CALLERS = 6;
const ADDRESS_MAX_AGE_S = 2;
const DRAIN_GRACE_MS = 1_000;
const COMPLETION_TOKENS = 60;
const MS_PER_TOKEN = 10;
const CALL_INTERVAL_MS = 20;
const LEAVING_SERVER = "model-0";

/** A caller's list of entry addresses, cached for the `max_age` of the last response. */
class CachedAddresses {
  #addresses: string[];
  #expiresAtMs = 0;

  constructor(first: string) {
    this.#addresses = [first];
  }

  /** Returns the preferred address; refreshes the list when it has expired. */
  async current(): Promise<string> {
    if (Date.now() >= this.#expiresAtMs) await this.#refresh();
    return this.#addresses[0] as string;
  }

  /** Fetches the list from the first known address that responds, as a real caller would. */
  async #refresh(): Promise<void> {
    for (const address of this.#addresses) {
      try {
        const response = await getJson(`http://${address}/addresses`);
        const addresses = response.addresses as { address: string }[];
        const others = this.#addresses.filter((known) => known !== address);
        this.#addresses = [
          ...new Set([...addresses.map((a) => a.address), address, ...others]),
        ];
        this.#expiresAtMs = Date.now() + Number(response.max_age) * 1_000;
        return;
      } catch {
        continue;
      }
    }
    throw new Error("None of the known entry addresses responded");
  }
}

/** Replaces all entries one after another under load. */
export class PlannedStopProof implements Proof {
  readonly name = "planned-stop";
  readonly guarantee =
    "A planned stop interrupts no request; a leaving backend server receives no new work after a few seconds";
  readonly faults = [
    "all entries replaced one after another",
    "callers that cache addresses for their max age",
    "idle keep-alive connections",
    "delayed list of VMs",
  ];
  readonly #history: PlannedStopHistory = {
    calls: [],
    work: [],
    leaving: undefined,
  };
  #fleet: TestFleet | undefined;
  #calling = true;
  #lastLeavingWorkMs = 0;

  async run(): Promise<ProofResult> {
    const fleet = await startFleet();
    this.#fleet = fleet;
    try {
      const first = fleet.entry("e1").callers;
      const callers = Array.from(
        { length: CALLERS },
        (_, index) => this.#callRepeatedly(first, index),
      );
      await pause(1_000);
      await this.#markServerLeaving();
      for (const id of ["e1", "e2", "e3"]) await this.#replaceEntry(id);
      await pause(MAX_WORK_AFTER_LEAVING_MS);
      this.#calling = false;
      await Promise.all(callers);
      await this.#recordWork();
    } finally {
      await fleet.stop();
    }
    return {
      operations: this.#history.calls.length + this.#history.work.length,
      violations: checkPlannedStop(this.#history),
      figures: {
        "last new work on the leaving server after":
          `${this.#lastLeavingWorkMs} ms`,
      },
    };
  }

  async #replaceEntry(id: string): Promise<void> {
    const fleet = this.#fleet as TestFleet;
    const index = fleet.entries.size;
    const data_centre = DATA_CENTRES[index % DATA_CENTRES.length] as string;
    await fleet.startEntry({ id: `${id}-new`, data_centre });
    const { process } = fleet.entry(id);
    process.signal("SIGTERM");
    const code = await process.exitCode();
    if (code !== 0) {
      this.#record({
        kind: "chat",
        entry: id,
        problem: `the entry process exited with code ${code}`,
      });
    }
  }

  async #markServerLeaving(): Promise<void> {
    const fleet = this.#fleet as TestFleet;
    const vms = [{ id: LEAVING_SERVER, kind: "backend", state: "leaving" }];
    const res = await request(`${fleet.platformUrl}/vms`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ vms }),
    });
    await res.body.dump();
    this.#history.leaving = { server: LEAVING_SERVER, atMs: Date.now() };
  }

  async #callRepeatedly(first: string, callerIndex: number): Promise<void> {
    const addresses = new CachedAddresses(first);
    const kinds = ["chat", "stream", "service"] as const;
    for (let call = callerIndex; this.#calling; call++) {
      await this.#callOnce(
        await addresses.current(),
        kinds[call % kinds.length] as CallEvent["kind"],
      );
      await pause(CALL_INTERVAL_MS);
    }
  }

  async #callOnce(address: string, kind: CallEvent["kind"]): Promise<void> {
    const invokedMs = Date.now();
    let problem: string | undefined;
    try {
      problem = await sendAndValidate(new Caller(address, KEY), kind);
    } catch (err) {
      problem = String(err);
    }
    this.#record({ kind, entry: address, problem }, invokedMs);
  }

  #record(event: Omit<CallEvent, "invokedMs">, invokedMs = Date.now()): void {
    this.#history.calls.push({ ...event, invokedMs });
  }

  async #recordWork(): Promise<void> {
    const fleet = this.#fleet as TestFleet;
    for (const server of ["model-0", "model-1"]) {
      const { work } = await getJson(`${fleet.backends.get(server)?.url}/work`);
      for (const { at_ms } of work as { at_ms: number }[]) {
        this.#history.work.push({ server, atMs: at_ms });
      }
    }
    const leavingSinceMs = this.#history.leaving?.atMs ?? 0;
    const leavingWork = this.#history.work.filter(({ server }) =>
      server === LEAVING_SERVER
    );
    this.#lastLeavingWorkMs = Math.max(...leavingWork.map(({ atMs }) => atMs)) -
      leavingSinceMs;
  }
}

/** Sends a request and returns what is wrong with its response, or undefined. */
async function sendAndValidate(
  caller: Caller,
  kind: CallEvent["kind"],
): Promise<string | undefined> {
  if (kind === "service") {
    const { status } = await caller.call("/services/tills/stock/1");
    return status === 200 ? undefined : `status ${status}`;
  }
  const stream = kind === "stream";
  const messages = [{ role: "user", content: "Why do calamansi leaves curl?" }];
  const { status, text, json } = await caller.call("/v1/chat/completions", {
    method: "POST",
    body: { model: "m", stream, max_tokens: COMPLETION_TOKENS, messages },
  });
  if (status !== 200) return `status ${status}: ${text.slice(0, 200)}`;
  const complete = stream
    ? text.trimEnd().endsWith("data: [DONE]")
    : json?.usage?.completion_tokens === COMPLETION_TOKENS;
  return complete
    ? undefined
    : `response truncated, it ends with: ${text.slice(-100)}`;
}

function startFleet(): Promise<TestFleet> {
  return TestFleet.start({
    entries: DATA_CENTRES.map((data_centre, index) => ({
      id: `e${index + 1}`,
      data_centre,
    })),
    backends: [
      {
        id: "model-0",
        data_centre: "qc-hall",
        version: "m@v1",
        tokenMs: MS_PER_TOKEN,
      },
      {
        id: "model-1",
        data_centre: "pasig-hall",
        version: "m@v1",
        tokenMs: MS_PER_TOKEN,
      },
      { id: "till-0", data_centre: "qc-hall", service: "tills" },
    ],
    configuration: {
      accounts: [{
        id: "a",
        keys: [hashKey(KEY)],
        models: ["m"],
        services: ["tills"],
      }],
      models: [{ id: "m", stable: "v1", versions: [{ id: "v1" }] }],
      services: [{
        id: "tills",
        routes: [{ path: "/stock/", methods: ["GET"], repeatable: true }],
      }],
    },
    settings: {
      callers: {
        address_max_age_s: ADDRESS_MAX_AGE_S,
        drain_grace_ms: DRAIN_GRACE_MS,
      },
    },
  });
}
