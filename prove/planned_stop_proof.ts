/** A planned stop cuts no request, and a leaving backend server gets no new work. */

import { pause } from "../src/runtime/pause.ts";
import { request } from "undici";
import { Caller } from "../tests/fixtures/caller.ts";
import { getJson, hashKey, TestFleet } from "../tests/fixtures/test_fleet.ts";
import type { Proof, ProofResult } from "./proof.ts";
import {
  type CallEvent,
  checkPlannedStop,
  LEFT_WITHIN_MS,
  type PlannedStopHistory,
} from "./planned_stop_history.ts";

const KEY = "key-of-the-proof";
const DATA_CENTRES = ["qc-hall", "pasig-hall", "laguna-hall"];
const CALLERS = 6;
const MAX_AGE_S = 2;
const GRACE_MS = 1_000;
const TOKENS = 60;
const TOKEN_MS = 10;
const CALL_EVERY_MS = 20;
const LEAVING_SERVER = "model-0";

/** A caller's list of addresses, kept for as long as it was told. */
class KeptAddresses {
  #addresses: string[];
  #until = 0;

  constructor(first: string) {
    this.#addresses = [first];
  }

  /** Returns the address to use now. */
  async current(): Promise<string> {
    if (Date.now() >= this.#until) await this.#ask();
    return this.#addresses[0] as string;
  }

  /** An address that has stopped since is passed over, as any caller would. */
  async #ask(): Promise<void> {
    for (const address of this.#addresses) {
      try {
        const answer = await getJson(`http://${address}/addresses`);
        const addresses = answer.addresses as { address: string }[];
        const others = this.#addresses.filter((known) => known !== address);
        this.#addresses = [
          ...new Set([...addresses.map((a) => a.address), address, ...others]),
        ];
        this.#until = Date.now() + Number(answer.max_age) * 1_000;
        return;
      } catch {
        continue;
      }
    }
    throw new Error("No address answers");
  }
}

/** Replaces all entries, one after another, under load. */
export class PlannedStopProof implements Proof {
  readonly name = "planned-stop";
  readonly promise =
    "A planned stop cuts no request; a leaving backend server gets no new work after a few seconds";
  readonly faults = [
    "all entries replaced in turn",
    "callers that keep addresses as told",
    "idle keep-alive connections",
    "lagging list of VMs",
  ];
  readonly #history: PlannedStopHistory = {
    calls: [],
    work: [],
    leaving: undefined,
  };
  #fleet: TestFleet | undefined;
  #calling = true;
  #lastWorkMs = 0;

  async run(): Promise<ProofResult> {
    const fleet = await startFleet();
    this.#fleet = fleet;
    try {
      const first = fleet.entry("e1").callers;
      const callers = Array.from(
        { length: CALLERS },
        (_, at) => this.#keepCalling(first, at),
      );
      await pause(1_000);
      await this.#letServerLeave();
      for (const id of ["e1", "e2", "e3"]) await this.#replace(id);
      await pause(LEFT_WITHIN_MS);
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
        "last new work on the leaving server after": `${this.#lastWorkMs} ms`,
      },
    };
  }

  async #replace(id: string): Promise<void> {
    const fleet = this.#fleet as TestFleet;
    const at = fleet.entries.size;
    const data_centre = DATA_CENTRES[at % DATA_CENTRES.length] as string;
    await fleet.startEntry({ id: `${id}-new`, data_centre });
    const { process } = fleet.entry(id);
    process.signal("SIGTERM");
    const code = await process.exitCode();
    if (code !== 0) {
      this.#record({
        what: "chat",
        entry: id,
        problem: `it exited with ${code}`,
      });
    }
  }

  async #letServerLeave(): Promise<void> {
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

  async #keepCalling(first: string, number: number): Promise<void> {
    const kept = new KeptAddresses(first);
    const kinds = ["chat", "stream", "service"] as const;
    for (let call = number; this.#calling; call++) {
      await this.#callOnce(
        await kept.current(),
        kinds[call % kinds.length] as CallEvent["what"],
      );
      await pause(CALL_EVERY_MS);
    }
  }

  async #callOnce(address: string, what: CallEvent["what"]): Promise<void> {
    const invokedMs = Date.now();
    let problem: string | undefined;
    try {
      problem = await problemOf(new Caller(address, KEY), what);
    } catch (err) {
      problem = String(err);
    }
    this.#record({ what, entry: address, problem }, invokedMs);
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
    const since = this.#history.leaving?.atMs ?? 0;
    const last = this.#history.work.filter(({ server }) =>
      server === LEAVING_SERVER
    );
    this.#lastWorkMs = Math.max(...last.map(({ atMs }) => atMs)) - since;
  }
}

/** Sends a request; returns what is wrong with its answer. */
async function problemOf(
  caller: Caller,
  what: CallEvent["what"],
): Promise<string | undefined> {
  if (what === "service") {
    const { status } = await caller.call("/services/tills/stock/1");
    return status === 200 ? undefined : `status ${status}`;
  }
  const stream = what === "stream";
  const messages = [{ role: "user", content: "Why do calamansi leaves curl?" }];
  const { status, text, json } = await caller.call("/v1/chat/completions", {
    method: "POST",
    body: { model: "m", stream, max_tokens: TOKENS, messages },
  });
  if (status !== 200) return `status ${status}: ${text.slice(0, 200)}`;
  const whole = stream
    ? text.trimEnd().endsWith("data: [DONE]")
    : json?.usage?.completion_tokens === TOKENS;
  return whole ? undefined : `its end is missing: ${text.slice(-100)}`;
}

function startFleet(): Promise<TestFleet> {
  return TestFleet.start({
    entries: DATA_CENTRES.map((data_centre, at) => ({
      id: `e${at + 1}`,
      data_centre,
    })),
    backends: [
      {
        id: "model-0",
        data_centre: "qc-hall",
        version: "m@v1",
        tokenMs: TOKEN_MS,
      },
      {
        id: "model-1",
        data_centre: "pasig-hall",
        version: "m@v1",
        tokenMs: TOKEN_MS,
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
      callers: { address_max_age_s: MAX_AGE_S, drain_grace_ms: GRACE_MS },
    },
  });
}
