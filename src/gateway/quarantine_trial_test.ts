import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { ServerExitCheck } from "../backends/server_exit_check.ts";
import { CrashHistory } from "../core/crashes/crash_history.ts";
import { QUARANTINE_MS } from "../core/crashes/quarantine.ts";
import type {
  EntryId,
  PartKey,
  PromptPartId,
  RequestKey,
  ServerIncarnation,
  ServiceId,
} from "../core/ids.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import { ServerDirectory } from "../core/servers/server_directory.ts";
import { CrashGossip } from "../fleet/crash_gossip.ts";
import { SilentLogger } from "../runtime/logger.ts";
import { CrashDetector } from "./crash_detector.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { RequestIdentity } from "./request_identity.ts";

const SERVICE = "tracker" as ServiceId;
const BAD = "bad" as PromptPartId;
const NAMES = ["vm-1", "vm-2", "vm-3"] as EntryId[];
const CRASH_LIMIT = 3;
/** Time between the trials of two VMs. */
const INTERVAL_MS = 3_000;
const STEP_MS = 100;
/** Time until all VMs know of a crash or a completion. */
const NEWS_MS = 200;
const MINUTE_MS = 60_000;

/** What becomes of a request that is sent to a server. */
type Outcome = "crash" | "completion" | "unknown";

interface Sent {
  readonly vm: EntryId;
  readonly atMs: number;
}

let nowMs: number;
let vms: Vm[];
let sent: Sent[];
let outcome: Outcome;
/** Actions that are due at a time. */
let due: { readonly atMs: number; readonly run: () => void }[];

/** A VM that gets requests with the bad part. */
class Vm {
  readonly id: EntryId;
  readonly gossip: CrashGossip;
  readonly #detector: CrashDetector;
  #requests = 0;

  constructor(id: EntryId) {
    this.id = id;
    const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
    const logger = new SilentLogger();
    const crashHistory = new CrashHistory();
    this.gossip = new CrashGossip({ crashHistory, clock, logger });
    this.#detector = new CrashDetector({
      serverExitCheck: {} as ServerExitCheck,
      serverDirectory: new ServerDirectory(),
      crashHistory,
      crashGossip: this.gossip,
      crashRegistry: { isLoaded: true },
      memberTable: {
        self: { id },
        everyone: () => NAMES.map((name) => ({ id: name, state: "alive" })),
      } as unknown as MemberTable,
      gatewayMetrics: new GatewayMetrics(),
      clock,
      logger,
    });
  }

  /** Takes a new request, and sends it to a server if it may. */
  request(): void {
    this.#requests += 1;
    const monitored = {
      identity: new RequestIdentity({
        method: "GET",
        host: "shop.example",
        url: `/${this.id}/${this.#requests}`,
        account: undefined,
        body: undefined,
      }, { service: SERVICE, parts: [{ id: BAD }, { id: BAD }] }),
      attemptId: undefined,
      account: undefined,
      service: SERVICE,
      streaming: true,
    };
    const status = this.#detector.quarantineStatus(monitored);
    const maySend = status.tag === "free" ||
      (status.tag === "trial_due" &&
        this.#detector.tryStartTrial(status, monitored));
    if (maySend) this.#send(monitored.identity);
  }

  #send({ key, parts }: RequestIdentity): void {
    sent.push({ vm: this.id, atMs: nowMs });
    if (outcome === "crash") crashServer(this, { request: key, parts });
    if (outcome === "completion") this.gossip.recordCompletion(parts);
    const news = this.gossip.recentCrashes();
    for (const other of vms.filter(({ id }) => id !== this.id)) {
      const run = () => other.gossip.receive(news, this.id);
      due.push({ atMs: nowMs + NEWS_MS, run });
    }
  }
}

function crashServer(
  { gossip }: Vm,
  { request, parts }: { request: RequestKey; parts: readonly PartKey[] },
): void {
  const life = `i-${nowMs}` as ServerIncarnation;
  const address = `10.0.0.${nowMs / STEP_MS % 8}:80`;
  const times = { beganMs: nowMs - STEP_MS, endedMs: nowMs };
  gossip.recordLocal({
    request,
    parts,
    account: undefined,
    life,
    address,
    after: [],
    ...times,
    serviceSize: 8,
  });
}

/** Lets callers send requests to all VMs for a time; returns what reached servers. */
function run(forMs: number): readonly Sent[] {
  sent = [];
  for (const untilMs = nowMs + forMs; nowMs < untilMs; nowMs += STEP_MS) {
    for (const action of due.filter(({ atMs }) => atMs <= nowMs)) action.run();
    due = due.filter(({ atMs }) => atMs > nowMs);
    for (const vm of vms) vm.request();
  }
  return sent;
}

beforeEach(() => {
  nowMs = MINUTE_MS;
  due = [];
  outcome = "crash";
  vms = NAMES.map((id) => new Vm(id));
  const [first] = vms;
  assert.ok(first !== undefined);
  run(MINUTE_MS);
  assert.ok(sent.length >= CRASH_LIMIT);
  assert.deepEqual(run(QUARANTINE_MS - 2 * MINUTE_MS), []);
});

describe("requests at several VMs whose quarantine has ended", () => {
  it("should be tried by one of them while they crash servers, and twice as long after it", () => {
    assert.deepEqual(run(2 * MINUTE_MS).map(({ vm }) => vm), ["vm-1"]);
    assert.deepEqual(run(2 * QUARANTINE_MS - 3 * MINUTE_MS), []);
    assert.deepEqual(run(4 * MINUTE_MS).map(({ vm }) => vm), ["vm-1"]);
  });

  it("should be tried by one after the other while the result is unknown", () => {
    outcome = "unknown";
    const trials = run(QUARANTINE_MS / 2);
    assert.deepEqual(trials.map(({ vm }) => vm), NAMES);
    const gapsMs = trials.slice(1).map(({ atMs }, n) =>
      atMs - (trials[n]?.atMs ?? 0)
    );
    assert.ok(gapsMs.every((gapMs) => gapMs >= INTERVAL_MS - STEP_MS));
  });

  it("should all be sent once one of them has completed", () => {
    outcome = "completion";
    const served = run(2 * MINUTE_MS);
    const [trial] = served;
    const early = served.filter(({ vm, atMs }) =>
      vm !== trial?.vm && atMs < (trial?.atMs ?? 0) + NEWS_MS
    );
    assert.deepEqual(early, []);
    assert.deepEqual(new Set(served.map(({ vm }) => vm)), new Set(NAMES));
  });
});
