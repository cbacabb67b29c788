/** Runs roll-outs: one VM steps and reports them, every VM brakes. */

import type {
  RollOutOrder,
  RollOutState,
} from "../core/servers/roll_out_order.ts";
import type { EvidenceBook } from "../core/rollout/evidence.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import {
  type PlanStep,
  planStep,
  timeOfShare,
} from "../core/rollout/trial_plan.ts";
import { turnOf } from "../core/rollout/turn.ts";
import type { Judgement, TrialJudge } from "../core/rollout/trial_judge.ts";
import type { Verdict } from "../core/rollout/trial_verdict.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { FleetRelayRole } from "../fleet/fleet_relay_role.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { RollOutFollower } from "../store/roll_out_follower.ts";
import type { TrialFollower } from "../store/trial_follower.ts";
import type { ColdServerGuard } from "./cold_server_guard.ts";
import type { StopState } from "./stop_state.ts";

/** Time between looks at the evidence; a bad release answers every few of these. */
const TICK_MS = 200;
/** Time before a VM repeats a write that failed: each tick made 30 of a VM in an outage of 8 s. */
const RETRY_MS = 800;
/** Time between lines that tell what a trial waits for: a few for each of its steps. */
const STAY_LOG_MS = 2_000;
/** A VM acts in place of another that did not for this long. */
const TAKEOVER_MS = 600;

interface Deps {
  readonly releaseGate: ReleaseGate;
  readonly evidenceBook: EvidenceBook;
  readonly trialJudge: TrialJudge;
  readonly memberTable: MemberTable;
  readonly relayRole: FleetRelayRole;
  readonly serverDirectory: ServerDirectory;
  readonly serverLoads: ServerLoads;
  readonly coldServerGuard: ColdServerGuard;
  readonly rollOutFollower: RollOutFollower;
  readonly trialFollower: TrialFollower;
  readonly stopState: StopState;
  readonly bounds: DeploymentBounds;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What this VM has seen of one order. */
interface Watch {
  readonly release: string;
  readonly seenMs: number;
  /** What should be done, and since when it should. */
  wanted: string;
  wantedSinceMs: number;
  /** Nothing is written before this. */
  notBeforeMs: number;
  /** When it was last logged what the trial waits for. */
  loggedMs: number;
}

/** Looks at all open orders again and again. */
export class TrialController {
  readonly #deps: Deps;
  readonly #watches = new Map<string, Watch>();
  readonly #task = new RepeatedTask({
    intervalMs: TICK_MS,
    run: () => this.#tick(),
  });

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts to look. */
  start(): void {
    this.#task.start();
  }

  /** Stops to look. */
  stop(): void {
    this.#task.stop();
  }

  async #tick(): Promise<void> {
    for (const order of this.#deps.releaseGate.openOrders()) {
      const watch = this.#watch(order);
      const judgement = this.#judge(order);
      for (const verdict of [judgement.verdict, judgement.stepVerdict]) {
        if (verdict.tag === "bad") this.#brake(order, verdict);
      }
      const step = this.#plan(order, { watch, judgement });
      if (step.tag === "stay") this.#logStay(order, { watch, judgement });
      await this.#act(order, { watch, step });
    }
  }

  #watch({ service, release }: RollOutOrder): Watch {
    const known = this.#watches.get(service);
    if (known?.release === release) return known;
    const nowMs = this.#deps.clock.monotonicMs();
    const watch: Watch = {
      release,
      seenMs: nowMs,
      wanted: "",
      wantedSinceMs: nowMs,
      notBeforeMs: nowMs,
      loggedMs: nowMs,
    };
    this.#watches.set(service, watch);
    this.#deps.evidenceBook.forget(service);
    return watch;
  }

  #judge({ service, release }: RollOutOrder): Judgement {
    const { releaseGate, serverDirectory, trialJudge, clock } = this.#deps;
    const servers = serverDirectory.usable(service);
    const nowMs = clock.monotonicMs();
    const { stable } = releaseGate.split(service, { servers, nowMs });
    return trialJudge.judge({
      service,
      release,
      stableRelease: stable[0]?.release,
      share: releaseGate.trialShare(service),
    });
  }

  #brake(
    order: RollOutOrder,
    { kind, reason, answers, failures }: Extract<Verdict, { tag: "bad" }>,
  ): void {
    const { service, release } = order;
    if (!this.#deps.releaseGate.brake({ service, release })) return;
    this.#deps.logger.warn("Release is braked", {
      service,
      release,
      told_by: "own evidence",
      kind,
      reason,
      answers,
      failures,
    });
  }

  #plan(
    order: RollOutOrder,
    { watch, judgement }: { watch: Watch; judgement: Judgement },
  ): PlanStep | { readonly tag: "begin" } {
    const { releaseGate, serverDirectory, coldServerGuard, clock, bounds } =
      this.#deps;
    const { service, release, limitMs } = order;
    const { verdict, stepVerdict, trialAnswers, allAnswers } = judgement;
    if (releaseGate.isBraked({ service, release })) return { tag: "roll_back" };
    if (order.stateRelease !== release) return { tag: "begin" };
    const share = releaseGate.trialShare(service);
    const servers = serverDirectory.usable(service);
    // A VM that has just started knows the time of the order by the step it finds.
    const elapsedMs = Math.max(
      clock.monotonicMs() - watch.seenMs,
      timeOfShare(share) * limitMs,
    );
    return planStep({
      share,
      elapsedMs,
      limitMs,
      verdict,
      stepVerdict,
      exposure: {
        trialAnswers,
        allAnswers,
        share: bounds.trialShare,
        allowance: bounds.trialAllowance,
      },
      // Cold ones bear little, and their answers would speak of that.
      hasServers: servers.some((server) =>
        server.release === release && !coldServerGuard.isCold(server)
      ),
      oldWorkMs: this.#workOffRelease(order),
    });
  }

  /** By the VM that would act only. */
  #logStay(
    { service, release, limitMs }: RollOutOrder,
    { watch, judgement }: { watch: Watch; judgement: Judgement },
  ): void {
    const nowMs = this.#deps.clock.monotonicMs();
    if (nowMs - watch.loggedMs < STAY_LOG_MS || this.#turn() !== 0) return;
    watch.loggedMs = nowMs;
    this.#deps.logger.info("Trial stays", {
      service,
      release,
      share: this.#deps.releaseGate.trialShare(service),
      elapsed_ms: Math.round(nowMs - watch.seenMs),
      limit_ms: limitMs,
      verdict: judgement.verdict.tag,
      step_verdict: judgement.stepVerdict.tag,
      step_answers: judgement.stepVerdict.answers,
      trial_answers: judgement.trialAnswers,
      all_answers: judgement.allAnswers,
    });
  }

  #workOffRelease({ service, release }: RollOutOrder): number {
    const { serverDirectory, serverLoads } = this.#deps;
    return serverDirectory.usable(service)
      .filter((server) => server.release !== release)
      .reduce((sum, { instance }) => sum + serverLoads.work(instance), 0);
  }

  async #act(
    order: RollOutOrder,
    { watch, step }: {
      watch: Watch;
      step: PlanStep | { readonly tag: "begin" };
    },
  ): Promise<void> {
    if (step.tag === "stay") return;
    if (!this.#isMyTurn(watch, JSON.stringify(step))) return;
    if (await this.#write(order, step)) return;
    watch.notBeforeMs = this.#deps.clock.monotonicMs() + RETRY_MS;
  }

  #write(
    order: RollOutOrder,
    step: Exclude<PlanStep | { readonly tag: "begin" }, { tag: "stay" }>,
  ): Promise<boolean> {
    const { service, release } = order;
    switch (step.tag) {
      case "begin":
        return this.#report(order, "in_progress");
      case "share": {
        const { share } = step;
        return this.#deps.trialFollower.write({ service, release, share });
      }
      case "complete":
        return this.#report(order, "completed");
      case "roll_back":
        return this.#report(order, "rolled_back");
    }
  }

  async #report(order: RollOutOrder, state: RollOutState): Promise<boolean> {
    const done = await this.#deps.rollOutFollower.report(order, state);
    this.#deps.logger.info("Roll-out is reported", {
      service: order.service,
      release: order.release,
      state,
      written: done,
    });
    return done;
  }

  /** VMs act in the order of their names, each when those before it have not. */
  #isMyTurn(watch: Watch, wanted: string): boolean {
    const nowMs = this.#deps.clock.monotonicMs();
    if (watch.wanted !== wanted) {
      watch.wanted = wanted;
      watch.wantedSinceMs = nowMs;
    }
    return nowMs >= watch.notBeforeMs &&
      nowMs - watch.wantedSinceMs >= this.#turn() * TAKEOVER_MS;
  }

  /** Number of VMs that act before this one. */
  #turn(): number {
    const { memberTable, relayRole, stopState } = this.#deps;
    const alive = memberTable.callable().filter(({ state }) =>
      state === "alive"
    ).map(({ id }) => id);
    if (stopState.stopping) return alive.length;
    return turnOf({
      self: memberTable.self.id,
      alive,
      readers: relayRole.readers,
      hasLostStore: (vm) => relayRole.hasLostStore(vm),
    });
  }
}
