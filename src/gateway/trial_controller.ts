/** Runs roll-outs: one VM advances and reports them, every VM can halt a bad release. */

import type {
  RollOutOrder,
  RollOutState,
} from "../core/servers/roll_out_order.ts";
import type { EvidenceAggregator } from "../core/rollout/evidence.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import {
  type CanaryStep,
  initialShare,
  nextCanaryStep,
  plannedTimeOfShare,
} from "../core/rollout/canary_plan.ts";
import { takeoverRank } from "../core/rollout/takeover_rank.ts";
import type {
  CanaryAnalysis,
  CanaryAnalyzer,
} from "../core/rollout/canary_analyzer.ts";
import type { CanaryEvaluation } from "../core/rollout/canary_evaluation.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ServerLoads } from "../core/servers/server_loads.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { FleetRelayRole } from "../fleet/fleet_relay_role.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Logger } from "../runtime/logger.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { RollOutFollower } from "../store/roll_out_follower.ts";
import type { CanaryFollower } from "../store/canary_follower.ts";
import type { ColdServerGuard } from "./cold_server_guard.ts";
import type { StopState } from "./stop_state.ts";

/** Interval between evaluations; a bad release gives one answer every few intervals. */
const EVALUATION_INTERVAL_MS = 200;
/**
 * Delay before a failed write is repeated. Repeating it at each evaluation caused 30 writes per VM
 * in an outage of 8 s.
 */
const WRITE_RETRY_DELAY_MS = 800;
/** Interval between log lines on what a trial waits for: a few lines for each step. */
const HOLD_LOG_INTERVAL_MS = 2_000;
/** A VM acts in place of the one before it if that has not acted for this long. */
const TAKEOVER_DELAY_MS = 600;

interface Deps {
  readonly releaseGate: ReleaseGate;
  readonly evidenceAggregator: EvidenceAggregator;
  readonly canaryAnalyzer: CanaryAnalyzer;
  readonly memberTable: MemberTable;
  readonly relayRole: FleetRelayRole;
  readonly serverDirectory: ServerDirectory;
  readonly serverLoads: ServerLoads;
  readonly coldServerGuard: ColdServerGuard;
  readonly rollOutFollower: RollOutFollower;
  readonly canaryFollower: CanaryFollower;
  readonly stopState: StopState;
  readonly bounds: DeploymentBounds;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Local state of one roll-out order. */
interface OrderProgress {
  readonly release: string;
  readonly firstSeenMs: number;
  /** The step that is due, serialised, and since when it has been due. */
  pendingStep: string;
  pendingSinceMs: number;
  /** Earliest time of the next write. */
  nextWriteMs: number;
  /** When it was last logged what the trial waits for. */
  lastHoldLogMs: number;
}

/** Evaluates all open roll-out orders periodically. */
export class TrialController {
  readonly #deps: Deps;
  readonly #progressByService = new Map<string, OrderProgress>();
  readonly #task = new RepeatedTask({
    intervalMs: EVALUATION_INTERVAL_MS,
    run: () => this.#evaluate(),
  });

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts the periodic evaluation. */
  start(): void {
    this.#task.start();
  }

  /** Stops the periodic evaluation. */
  stop(): void {
    this.#task.stop();
  }

  async #evaluate(): Promise<void> {
    for (const order of this.#deps.releaseGate.activeOrders()) {
      const progress = this.#progressOf(order);
      const judgement = this.#judge(order);
      for (const verdict of [judgement.evaluation, judgement.stepEvaluation]) {
        if (verdict.tag === "bad") {
          this.#haltTrial(order, { verdict, analysis: judgement });
        }
      }
      const step = this.#nextStep(order, { progress, judgement });
      if (step.tag === "stay") this.#logHold(order, { progress, judgement });
      await this.#applyStep(order, { progress, step, judgement });
    }
  }

  #progressOf({ service, release }: RollOutOrder): OrderProgress {
    const known = this.#progressByService.get(service);
    if (known?.release === release) return known;
    const nowMs = this.#deps.clock.monotonicMs();
    const progress: OrderProgress = {
      release,
      firstSeenMs: nowMs,
      pendingStep: "",
      pendingSinceMs: nowMs,
      nextWriteMs: nowMs,
      lastHoldLogMs: nowMs,
    };
    this.#progressByService.set(service, progress);
    this.#deps.evidenceAggregator.removeService(service);
    return progress;
  }

  #judge({ service, release }: RollOutOrder): CanaryAnalysis {
    const { releaseGate, serverDirectory, canaryAnalyzer, clock, bounds } =
      this.#deps;
    const servers = serverDirectory.usable(service);
    const nowMs = clock.monotonicMs();
    const { stable } = releaseGate.eligibleServers(service, { servers, nowMs });
    const share = releaseGate.canaryShare(service);
    return canaryAnalyzer.analyze({
      service,
      release,
      stableRelease: stable[0]?.release,
      share,
      hasGrown: share > initialShare(bounds.canaryShare),
    });
  }

  #haltTrial(
    order: RollOutOrder,
    { verdict, analysis }: {
      verdict: Extract<CanaryEvaluation, { tag: "bad" }>;
      analysis: CanaryAnalysis;
    },
  ): void {
    const { service, release } = order;
    const { kind, reason, answers, failures } = verdict;
    if (!this.#deps.releaseGate.halt({ service, release })) return;
    this.#deps.logger.warn("Release halted", {
      service,
      release,
      told_by: "own evidence",
      kind,
      reason,
      answers,
      failures,
      share: this.#deps.releaseGate.canaryShare(service),
      ...describeLatency(analysis),
    });
  }

  #nextStep(
    order: RollOutOrder,
    { progress, judgement }: {
      progress: OrderProgress;
      judgement: CanaryAnalysis;
    },
  ): CanaryStep | { readonly tag: "begin" } {
    const { releaseGate, serverDirectory, coldServerGuard, clock, bounds } =
      this.#deps;
    const { service, release, limitMs } = order;
    const { evaluation: verdict, stepEvaluation, canaryAnswers, totalAnswers } =
      judgement;
    if (releaseGate.isHalted({ service, release })) return { tag: "roll_back" };
    if (order.stateRelease !== release) return { tag: "begin" };
    const share = releaseGate.canaryShare(service);
    const servers = serverDirectory.usable(service);
    // A VM that has just started infers the elapsed time from the current share.
    const elapsedMs = Math.max(
      clock.monotonicMs() - progress.firstSeenMs,
      plannedTimeOfShare(share) * limitMs,
    );
    return nextCanaryStep({
      share,
      elapsedMs,
      limitMs,
      evaluation: verdict,
      stepEvaluation,
      exposure: {
        canaryAnswers,
        totalAnswers,
        share: bounds.canaryShare,
        allowance: bounds.canaryAllowance,
      },
      // Cold servers accept little work, and their answers would reflect the warm-up.
      hasServers: servers.some((server) =>
        server.release === release && !coldServerGuard.isCold(server)
      ),
      previousReleaseWorkMs: this.#workOnOtherReleases(order),
    });
  }

  /** Logs only on the VM that is first in turn. */
  #logHold(
    { service, release, limitMs }: RollOutOrder,
    { progress, judgement }: {
      progress: OrderProgress;
      judgement: CanaryAnalysis;
    },
  ): void {
    const nowMs = this.#deps.clock.monotonicMs();
    if (
      nowMs - progress.lastHoldLogMs < HOLD_LOG_INTERVAL_MS ||
      this.#turnIndex() !== 0
    ) return;
    progress.lastHoldLogMs = nowMs;
    this.#deps.logger.info("Trial is waiting", {
      service,
      release,
      share: this.#deps.releaseGate.canaryShare(service),
      elapsed_ms: Math.round(nowMs - progress.firstSeenMs),
      limit_ms: limitMs,
      verdict: judgement.evaluation.tag,
      step_verdict: judgement.stepEvaluation.tag,
      step_answers: judgement.stepEvaluation.answers,
      trial_answers: judgement.canaryAnswers,
      all_answers: judgement.totalAnswers,
      ...describeLatency(judgement),
    });
  }

  #logStep(
    { service, release }: RollOutOrder,
    { step, judgement }: {
      step: CanaryStep | { readonly tag: "begin" };
      judgement: CanaryAnalysis;
    },
  ): void {
    const { evaluation, stepEvaluation, canaryAnswers, totalAnswers } =
      judgement;
    this.#deps.logger.info("Trial takes a step", {
      service,
      release,
      step: step.tag,
      share: step.tag === "share" ? step.share : undefined,
      verdict: evaluation.tag,
      step_verdict: stepEvaluation.tag,
      step_answers: stepEvaluation.answers,
      trial_answers: canaryAnswers,
      all_answers: totalAnswers,
      ...describeLatency(judgement),
    });
  }

  #workOnOtherReleases({ service, release }: RollOutOrder): number {
    const { serverDirectory, serverLoads } = this.#deps;
    return serverDirectory.usable(service)
      .filter((server) => server.release !== release)
      .reduce((sum, { instance }) => sum + serverLoads.work(instance), 0);
  }

  async #applyStep(
    order: RollOutOrder,
    { progress, step, judgement }: {
      progress: OrderProgress;
      step: CanaryStep | { readonly tag: "begin" };
      judgement: CanaryAnalysis;
    },
  ): Promise<void> {
    if (step.tag === "stay") return;
    if (!this.#isMyTurn(progress, JSON.stringify(step))) return;
    this.#logStep(order, { step, judgement });
    if (await this.#writeStep(order, step)) return;
    progress.nextWriteMs = this.#deps.clock.monotonicMs() +
      WRITE_RETRY_DELAY_MS;
  }

  #writeStep(
    order: RollOutOrder,
    step: Exclude<CanaryStep | { readonly tag: "begin" }, { tag: "stay" }>,
  ): Promise<boolean> {
    const { service, release } = order;
    switch (step.tag) {
      case "begin":
        return this.#reportState(order, "in_progress");
      case "share": {
        const { share } = step;
        return this.#deps.canaryFollower.write({ service, release, share });
      }
      case "complete":
        return this.#reportState(order, "completed");
      case "roll_back":
        return this.#reportState(order, "rolled_back");
    }
  }

  async #reportState(
    order: RollOutOrder,
    state: RollOutState,
  ): Promise<boolean> {
    const done = await this.#deps.rollOutFollower.writeState(order, state);
    this.#deps.logger.info("Roll-out state reported", {
      service: order.service,
      release: order.release,
      state,
      written: done,
    });
    return done;
  }

  /** VMs act in a fixed order, each only if those before it have not acted in time. */
  #isMyTurn(progress: OrderProgress, dueStep: string): boolean {
    const nowMs = this.#deps.clock.monotonicMs();
    if (progress.pendingStep !== dueStep) {
      progress.pendingStep = dueStep;
      progress.pendingSinceMs = nowMs;
    }
    return nowMs >= progress.nextWriteMs &&
      nowMs - progress.pendingSinceMs >= this.#turnIndex() * TAKEOVER_DELAY_MS;
  }

  /** Number of VMs that act before this one. */
  #turnIndex(): number {
    const { memberTable, relayRole, stopState } = this.#deps;
    const alive = memberTable.advertisableMembers().filter(({ state }) =>
      state === "alive"
    ).map(({ id }) => id);
    if (stopState.stopping) return alive.length;
    return takeoverRank({
      self: memberTable.self.id,
      alive,
      readers: relayRole.readers,
      hasLostStore: (vm) => relayRole.hasLostStore(vm),
    });
  }
}

/** Log fields on the latency of a canary: its slowdown, and the evidence for it. */
function describeLatency({ latency }: CanaryAnalysis) {
  if (latency === undefined) return {};
  return {
    latencies: latency.latencies,
    slowdown: Number(Math.exp(latency.logSlowdown).toFixed(2)),
    slow_log_ratio: Number(latency.logRatio.toFixed(1)),
  };
}
