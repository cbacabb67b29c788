/** Chooses the service and the backend server for a request. */

import type {
  DataCentreId,
  InstanceId,
  ModelId,
  PromptPartId,
  ServiceId,
} from "../core/ids.ts";
import type { ReleaseSelector } from "../core/rollout/release_selector.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
import type { SessionTracker } from "../core/rollout/session_tracker.ts";
import type { Route } from "../core/routes/route.ts";
import type {
  PromptHolders,
  PromptKey,
} from "../core/routing/prompt_holders.ts";
import type { AffinityChoice } from "../core/routing/affinity_choice.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { CallerHead } from "../platform/header_wire.ts";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import type { EvacuationFollower } from "../store/evacuation_follower.ts";
import type { RollOutFollower } from "../store/roll_out_follower.ts";
import type { ServerAdmission } from "./server_admission.ts";
import type { AttemptAcks } from "./attempt_acks.ts";
import type { Clock } from "../runtime/clock.ts";

interface Deps {
  readonly vmSettings: VmSettings;
  readonly serverDirectory: ServerDirectory;
  readonly serverAdmission: ServerAdmission;
  readonly releaseGate: ReleaseGate;
  readonly releaseSelector: ReleaseSelector;
  readonly rollOutFollower: RollOutFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly affinityChoice: AffinityChoice;
  readonly promptHolders: PromptHolders;
  readonly sessionTracker: SessionTracker;
  readonly attemptAcks: Pick<AttemptAcks, "isUnresponsive">;
  readonly clock: Clock;
  readonly chance: () => number;
}

/** Criteria by which a backend server is chosen. */
export interface SelectionCriteria {
  readonly service: ServiceId;
  readonly head: CallerHead;
  readonly model: ModelId | undefined;
  readonly tried: ReadonlySet<InstanceId>;
  /** Addresses of servers to use only if their release has no other healthy one. */
  readonly avoided: ReadonlySet<string>;
  /** Whether an earlier attempt may have been read by a server. */
  readonly isRetry: boolean;
  /** Extra work for a server that does not have the shared prompt prefix cached. */
  readonly sharedMs: number;
}

/** Combines the server directory, roll-outs, admission and load into one choice. */
export class ServerSelector {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Picks one of the services of a route at random, by weight. */
  pickService({ targets }: Route): ServiceId {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = this.#deps.chance() * total;
    for (const { service, weight } of targets) {
      remaining -= weight;
      if (remaining < 0) return service;
    }
    return targets.at(-1)?.service ?? ("" as ServiceId);
  }

  /** Whether a server is known to have the shared prompt prefix of a request cached. */
  hasCachedPrompt(
    { instance }: ServerRecord,
    { head, model }: Pick<SelectionCriteria, "head" | "model">,
  ): boolean {
    const { promptHolders, clock } = this.#deps;
    const key = promptKeyOf(head, model);
    if (key === undefined) return false;
    return promptHolders.holdersOf(key, clock.monotonicMs()).has(instance);
  }

  /** Returns the server to use; undefined if none accepts new work. */
  choose(selection: SelectionCriteria): ServerRecord | undefined {
    const { serverAdmission } = this.#deps;
    for (const candidates of this.#candidateSets(selection)) {
      const open = this.#responsiveServers(
        serverAdmission.filterAvailable(candidates),
        selection,
      );
      const server = this.#chooseAmong(open, selection);
      if (server !== undefined) return server;
      // A session stays on its release while all servers of that release are full, as they soon
      // accept work again.
      const allClosed = open.length === 0 && candidates.length > 0;
      if (allClosed && this.#isPinned(selection, candidates)) return undefined;
    }
    return undefined;
  }

  /**
   * Milliseconds until one of the eligible servers accepts the request, if all of them are in
   * backoff, cold or at their rate limit; undefined otherwise.
   */
  availableInMs(selection: SelectionCriteria): number | undefined {
    const { serverDirectory, serverAdmission } = this.#deps;
    const [first = []] = this.#candidateSets(selection);
    const isPinned = this.#isPinned(selection, first);
    return serverAdmission.opensInMs(
      isPinned ? first : serverDirectory.usable(selection.service),
    );
  }

  /** Servers that would accept the request if another VM granted this VM a permit. */
  serversNeedingPermit(selection: SelectionCriteria): readonly ServerRecord[] {
    const { serverAdmission } = this.#deps;
    const candidateSets = this.#candidateSets(selection);
    const [first = []] = candidateSets;
    const servers = this.#isPinned(selection, first)
      ? first
      : candidateSets.flat();
    return this.#responsiveServers(
      serverAdmission.filterWithoutPermit(servers),
      selection,
    )
      .filter(({ instance }) => !selection.tried.has(instance));
  }

  /**
   * Leaves out unresponsive servers for retries. A retry that waits unread at a stopped server
   * does not help the caller, and still counts as a retry when the server reads it.
   */
  #responsiveServers(
    servers: readonly ServerRecord[],
    { isRetry }: SelectionCriteria,
  ): readonly ServerRecord[] {
    if (!isRetry) return servers;
    const { attemptAcks } = this.#deps;
    return servers.filter((server) => !attemptAcks.isUnresponsive(server));
  }

  /** Whether the session of a request is pinned to the release of these candidates. */
  #isPinned(
    { head }: SelectionCriteria,
    candidates: readonly ServerRecord[],
  ): boolean {
    const { sessionTracker, clock } = this.#deps;
    const session = sessionOf(head);
    const release = candidates[0]?.release;
    if (session === undefined || release === undefined) return false;
    return sessionTracker.releaseOf(session, clock.monotonicMs()) === release;
  }

  #chooseAmong(
    candidates: readonly ServerRecord[],
    selection: SelectionCriteria,
  ): ServerRecord | undefined {
    const { affinityChoice, serverAdmission, vmSettings, clock } = this.#deps;
    const dataCentre: DataCentreId = vmSettings.dataCentre;
    return affinityChoice.choose({
      candidates,
      affinity: promptKeyOf(selection.head, selection.model),
      dataCentre,
      tried: selection.tried,
      avoided: selection.avoided,
      rateLimited: serverAdmission.filterRateLimited(candidates),
      sharedMs: selection.sharedMs,
      nowMs: clock.monotonicMs(),
    });
  }

  /** Sets of candidates, the best set first; some servers may not accept work now. */
  #candidateSets(
    { service, head }: SelectionCriteria,
  ): (readonly ServerRecord[])[] {
    const { serverDirectory, releaseGate, rollOutFollower } = this.#deps;
    const { evacuationFollower, serverAdmission } = this.#deps;
    if (!rollOutFollower.ready || !evacuationFollower.ready) return [];
    const nowMs = this.#deps.clock.monotonicMs();
    const servers = serverDirectory.usable(service);
    const { stable, canary: trial } = releaseGate.eligibleServers(service, {
      servers,
      nowMs,
    });
    return this.#deps.releaseSelector.selectServers({
      service,
      eligible: {
        stable: serverAdmission.filterBySlowStart(service, stable),
        canary: this.#trialCandidates(service, trial),
      },
      share: releaseGate.canaryShare(service),
      session: sessionOf(head),
      requestKey: head.attempt ?? "",
      nowMs,
    });
  }

  /**
   * A trial uses only a few servers of its release. Those that do not accept work now are left
   * out, so that others take their place.
   */
  #trialCandidates(
    service: ServiceId,
    trial: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    const { serverAdmission } = this.#deps;
    const eligible = serverAdmission.filterBySlowStart(service, trial);
    const open = serverAdmission.filterAvailable(eligible);
    return open.length > 0 ? open : eligible;
  }
}

/**
 * Returns the prompt part that identifies the session of a request. The last part of a prompt may
 * belong to the request alone or to its session; all requests of a session share the part before.
 */
export function sessionOf(head: CallerHead): PromptPartId | undefined {
  return longestSharedPrefix(head);
}

/**
 * Cache key of the prompt prefix that a request shares with others, which are best served by the
 * same server; undefined if it shares none.
 */
export function promptKeyOf(
  head: CallerHead,
  model: ModelId | undefined,
): PromptKey | undefined {
  const shared = longestSharedPrefix(head);
  return shared === undefined ? undefined : `${model ?? ""}/${shared}`;
}

/** The last prompt part that other requests may share with this one. */
function longestSharedPrefix(
  { promptParts }: CallerHead,
): PromptPartId | undefined {
  const part = promptParts.length >= 2 ? promptParts.at(-2) : promptParts[0];
  return part?.id;
}
