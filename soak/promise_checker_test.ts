import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { streamBody, wholeBody } from "./answer_bodies.ts";
import {
  type CallerRecord,
  type Ending,
  History,
  type RunRecord,
} from "./history.ts";
import type { GatewayName } from "./ids.ts";
import { checkPromises } from "./promise_checker.ts";
import { ACCOUNT, BOUNDS, CONTACT_MS, ROUTE, WARMUP } from "./soak_settings.ts";

const GATEWAY = "vm-1" as GatewayName;
const ATTEMPT = "a-1";
const SENT_MS = 20_000;

let history: History;

beforeEach(() => {
  history = new History();
});

function called(patch: Partial<CallerRecord> = {}): void {
  history.callers.push({
    attempt: ATTEMPT,
    kind: "once",
    gateway: GATEWAY,
    key: "key",
    sentMs: SENT_MS,
    endMs: SENT_MS + 50,
    ending: { tag: "answered", status: 200, body: wholeBody(ATTEMPT) },
    ...patch,
  });
}

function ran(patch: Partial<RunRecord> = {}): void {
  history.runs.push({
    attempt: ATTEMPT,
    server: "s-1",
    atMs: SENT_MS + 10,
    account: ACCOUNT,
    keyShown: false,
    broken: false,
    poison: false,
    ...patch,
  });
}

function broken(): string[] {
  return checkPromises(history).map(({ promise }) => promise);
}

describe("promise checker", () => {
  it("should find nothing wrong with an answered request", () => {
    called();
    ran();
    assert.deepEqual(broken(), []);
  });

  it("should find a request that ran at an evacuated server", () => {
    const saidMs = SENT_MS - BOUNDS.evacuationMs - 1;
    history.evacuations.push({ saidMs, takenBackMs: SENT_MS + 5_000 });
    called();
    ran();
    assert.deepEqual(broken(), ["evacuated servers"]);
  });

  it("should allow a request while news of an evacuation are on their way, and after it", () => {
    history.evacuations.push({
      saidMs: SENT_MS - BOUNDS.evacuationMs + 100,
      takenBackMs: SENT_MS + 5_000,
    });
    history.evacuations.push({
      saidMs: SENT_MS - 60_000,
      takenBackMs: SENT_MS - 30_000,
    });
    called();
    ran();
    assert.deepEqual(broken(), []);
  });

  it("should find a cold server that gets more in a second than it may", () => {
    const { requestsPerSecond, overshoot, allowance } = WARMUP;
    const most = requestsPerSecond * overshoot + allowance;
    history.evacuations.push({ saidMs: 0, takenBackMs: SENT_MS });
    for (let n = 0; n < most; n++) ran({ attempt: `a-${n}` });
    assert.deepEqual(broken(), []);
    ran({ attempt: "one more" });
    assert.deepEqual(broken(), ["cold servers"]);
  });

  it("should find a request that ran twice", () => {
    called();
    ran();
    ran({ server: "s-2" });
    assert.deepEqual(broken(), ["at most once"]);
  });

  it("should find a refused request that ran", () => {
    called({ ending: { tag: "answered", status: 503, body: "" } });
    ran();
    assert.deepEqual(broken(), ["refusals are true"]);
  });

  it("should find answers that are cut, or of another request", () => {
    const body = wholeBody(ATTEMPT).slice(0, -1);
    called({ ending: { tag: "answered", status: 200, body } });
    ran();
    assert.deepEqual(broken(), ["whole answers"]);
    history = new History();
    const other = streamBody("a-2", 0);
    called({
      kind: "stream",
      ending: { tag: "answered", status: 200, body: other },
    });
    assert.deepEqual(broken(), ["whole answers"]);
  });

  it("should find a key that was removed long before, or was passed on", () => {
    const takenMs = SENT_MS - BOUNDS.keyRemovalMs - 1;
    history.configurations.push(
      { version: 1, takenMs: 0, keys: ["key"] },
      { version: 2, takenMs, keys: [] },
    );
    called();
    ran({ keyShown: true });
    assert.deepEqual(broken(), ["keys stay here", "removed keys"]);
  });

  it("should not mind a key that was removed a moment ago", () => {
    history.configurations.push(
      { version: 1, takenMs: 0, keys: ["key"] },
      { version: 2, takenMs: SENT_MS - 1_000, keys: [] },
    );
    called();
    ran();
    assert.deepEqual(broken(), []);
  });

  it("should find work for a server that left, unless the gateway had trouble", () => {
    const saidMs = SENT_MS - BOUNDS.drainMs - 1;
    history.leavings.push({ server: "s-1", saidMs });
    called();
    ran();
    assert.deepEqual(broken(), ["leaving servers"]);
    history.troubles.push({
      name: "pause",
      victim: GATEWAY,
      fromMs: saidMs,
      untilMs: SENT_MS,
    });
    assert.deepEqual(broken(), []);
  });

  it("should find a request that a planned stop cut", () => {
    history.plannedStops.push({ gateway: GATEWAY, atMs: SENT_MS - 100 });
    called({ ending: { tag: "cut", begun: true } });
    ran();
    assert.deepEqual(broken(), ["planned stops"]);
  });

  describe("for accepted requests beside a change of the configuration", () => {
    const PROMISE = "accepted requests outlive changes of the configuration";
    const END_MS = SENT_MS + 300;
    const CUT: Ending = { tag: "cut", begun: true };

    function cutBesideChange(patch: Partial<CallerRecord> = {}): void {
      called({ kind: "stream", endMs: END_MS, ending: CUT, ...patch });
      ran({ broken: true });
      history.configurations.push(
        { version: 1, takenMs: 0, keys: ["key"] },
        { version: 2, takenMs: SENT_MS + 100, keys: [] },
      );
    }

    /** Lets a server run another request of the gateway. */
    function isAble(server: string, atMs = SENT_MS + 10): void {
      const attempt = `other-${server}`;
      const body = wholeBody(attempt);
      called({ attempt, ending: { tag: "answered", status: 200, body } });
      ran({ attempt, server, atMs });
    }

    function othersAreAble(atMs?: number): void {
      isAble("s-2", atMs);
      isAble("s-3", atMs);
    }

    it("should find a stream that is cut after its key was removed", () => {
      cutBesideChange();
      othersAreAble();
      assert.deepEqual(broken(), [PROMISE]);
    });

    it("should find a request that is refused after it has run", () => {
      for (const status of [401, 403, 404, 503]) {
        history = new History();
        const ending: Ending = { tag: "answered", status, body: "" };
        cutBesideChange({ kind: "repeatable", ending });
        othersAreAble();
        assert.deepEqual(broken(), [PROMISE], `status ${status}`);
      }
    });

    it("should find a stream that is cut while the store is away", () => {
      called({ kind: "stream", endMs: END_MS, ending: CUT });
      ran({ broken: true });
      othersAreAble();
      assert.deepEqual(broken(), []);
      const fromMs = SENT_MS - BOUNDS.keyRemovalMs + 1;
      history.troubles.push({
        name: "store_down",
        victim: "all",
        fromMs,
        untilMs: Infinity,
      });
      assert.deepEqual(broken(), [PROMISE]);
    });

    it("should not mind refusals of what has not run, or may not be repeated", () => {
      const ending: Ending = { tag: "answered", status: 401, body: "" };
      cutBesideChange({ kind: "once", ending });
      called({ attempt: "a-2", kind: "repeatable", endMs: END_MS, ending });
      called({
        attempt: "a-3",
        kind: "stream",
        endMs: END_MS,
        ending: { tag: "cut", begun: false },
      });
      ran({ attempt: "a-3", broken: true });
      othersAreAble();
      assert.deepEqual(broken(), []);
    });

    it("should not mind a cut when all runs of the route are used up", () => {
      cutBesideChange();
      othersAreAble();
      for (let run = 1; run < ROUTE.maxRuns; run++) {
        ran({ server: `s-${run + 3}`, broken: true });
      }
      assert.deepEqual(broken(), []);
    });

    it("should not mind a cut when the time of the request is up", () => {
      const endMs = SENT_MS + ROUTE.timeLimitMs;
      cutBesideChange({ endMs });
      othersAreAble(endMs - 10);
      assert.deepEqual(broken(), []);
    });

    it("should not mind a cut when other servers were out of order", () => {
      cutBesideChange();
      othersAreAble();
      const trouble = { server: "s-2", fromMs: 0, untilMs: SENT_MS };
      history.serverTroubles.push(trouble);
      assert.deepEqual(broken(), []);
    });

    it("should not mind a cut when hardly a server was seen at work lately", () => {
      cutBesideChange();
      isAble("s-2");
      isAble("s-3", SENT_MS - 2_000);
      assert.deepEqual(broken(), []);
    });

    it("should not mind a cut by a kill, a freeze or a lapse of servers", () => {
      for (const name of ["kill", "freeze", "servers_lapse"]) {
        history = new History();
        cutBesideChange();
        othersAreAble();
        const victim = name === "servers_lapse" ? "all" : GATEWAY;
        const untilMs = SENT_MS + 200;
        history.troubles.push({ name, victim, fromMs: SENT_MS, untilMs });
        assert.deepEqual(broken(), [], name);
      }
    });

    it("should leave a cut next to a planned stop to the check of those", () => {
      cutBesideChange();
      othersAreAble();
      history.plannedStops.push({ gateway: GATEWAY, atMs: SENT_MS });
      assert.deepEqual(broken(), []);
    });
  });

  it("should find a configuration that goes back within a life", () => {
    const shown = { gateway: GATEWAY, version: 2, life: 1 };
    history.shownVersions.push(
      { ...shown, askedMs: 1, shown: false },
      { ...shown, askedMs: 2, shown: true },
      { ...shown, askedMs: 3, shown: false },
      { ...shown, life: 2, askedMs: 4, shown: false },
    );
    assert.deepEqual(broken(), ["configuration never goes back"]);
  });

  describe("for a request that crashes servers", () => {
    /** Three servers have ended so long before, and the request reaches another. */
    function ranAfter(sinceMs: number): void {
      for (const n of [1, 2, 3]) {
        const atMs = SENT_MS - sinceMs + n;
        history.poisonedServers.push({ server: `s-${n}`, atMs });
      }
      called();
      history.poisonCallers.push(...history.callers.splice(0));
      ran({ poison: true, broken: true, server: "s-4" });
    }

    it("should find that it was sent after all had time to know", () => {
      ranAfter(CONTACT_MS + 100);
      assert.deepEqual(broken(), ["crashing requests"]);
    });

    it("should allow it while news is on its way, or to a gateway that was frozen", () => {
      ranAfter(CONTACT_MS - 100);
      assert.deepEqual(broken(), []);
      history = new History();
      ranAfter(CONTACT_MS + 100);
      const span = { fromMs: 0, untilMs: SENT_MS - 100 };
      history.troubles.push({ name: "freeze", victim: GATEWAY, ...span });
      assert.deepEqual(broken(), []);
    });

    it("should find another request that was taken for it", () => {
      const body = '{"code":"crashes_servers"}';
      called({ ending: { tag: "answered", status: 503, body } });
      assert.deepEqual(broken(), ["innocent requests"]);
    });
  });

  it("should find requests within a rest, but for what was on its way", () => {
    called();
    const rest = { server: "s-1", attempt: ATTEMPT, restMs: 1_500 };
    history.rests.push({ ...rest, atMs: SENT_MS });
    for (const [attempt, atMs] of [["a-2", 400], ["a-3", 1_600]] as const) {
      called({ attempt });
      ran({ attempt, atMs: SENT_MS + atMs });
    }
    assert.equal(broken().includes("rests of servers"), false);
    called({ attempt: "a-4" });
    ran({ attempt: "a-4", atMs: SENT_MS + 900 });
    assert.ok(broken().includes("rests of servers"));
    history.troubles.push({
      name: "freeze",
      victim: GATEWAY,
      fromMs: SENT_MS,
      untilMs: SENT_MS + 500,
    });
    assert.equal(broken().includes("rests of servers"), false);
  });

  it("should count what is turned away again as sent within a rest", () => {
    called();
    called({
      attempt: "a-2",
      ending: { tag: "answered", status: 200, body: wholeBody("a-2") },
    });
    const rest = { server: "s-1", restMs: 1_500 };
    history.rests.push({ ...rest, attempt: ATTEMPT, atMs: SENT_MS });
    history.rests.push({ ...rest, attempt: "a-2", atMs: SENT_MS + 900 });
    assert.deepEqual(broken(), ["rests of servers"]);
  });

  it("should find requests that come after a server's word that it leaves", () => {
    called();
    const word = { server: "s-1", attempt: ATTEMPT, restMs: 0 };
    history.leavingWords.push({ ...word, atMs: SENT_MS });
    const lateMs = SENT_MS + BOUNDS.drainMs + 100;
    called({ attempt: "a-2", sentMs: lateMs, kind: "repeatable" });
    ran({ attempt: "a-2", atMs: lateMs + 10 });
    assert.ok(broken().includes("leaving words of servers"));
  });
});
