/** Chooses service and server for a request. */

import type {
  DataCentreId,
  InstanceId,
  ModelId,
  PromptPartId,
  ServiceId,
} from "../core/ids.ts";
import type { ReleaseChoice } from "../core/rollout/release_choice.ts";
import type { ReleaseGate } from "../core/rollout/release_gate.ts";
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
import type { ColdServerGuard } from "./cold_server_guard.ts";
import type { Clock } from "../runtime/clock.ts";

interface Deps {
  readonly vmSettings: VmSettings;
  readonly serverDirectory: ServerDirectory;
  readonly coldServerGuard: ColdServerGuard;
  readonly releaseGate: ReleaseGate;
  readonly releaseChoice: ReleaseChoice;
  readonly rollOutFollower: RollOutFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly affinityChoice: AffinityChoice;
  readonly promptHolders: PromptHolders;
  readonly clock: Clock;
  readonly chance: () => number;
}

/** What a server is chosen for. */
export interface Selection {
  readonly service: ServiceId;
  readonly head: CallerHead;
  readonly model: ModelId | undefined;
  readonly tried: ReadonlySet<InstanceId>;
  /** What a server pays that does not hold the shared parts of the prompt. */
  readonly sharedMs: number;
}

/** Joins the directory of servers, roll-outs and loads. */
export class ServerSelector {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Picks one of the services of a route, by weight. */
  serviceFor({ targets }: Route): ServiceId {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let point = this.#deps.chance() * total;
    for (const { service, weight } of targets) {
      point -= weight;
      if (point < 0) return service;
    }
    return targets.at(-1)?.service ?? ("" as ServiceId);
  }

  /** Whether a server is known to hold what a request shares with others. */
  holds(
    { instance }: ServerRecord,
    { head, model }: Pick<Selection, "head" | "model">,
  ): boolean {
    const { promptHolders, clock } = this.#deps;
    const key = promptKeyOf(head, model);
    if (key === undefined) return false;
    return promptHolders.of(key, clock.monotonicMs()).has(instance);
  }

  /** Returns the server to use; undefined when none takes new work. */
  choose(selection: Selection): ServerRecord | undefined {
    for (const candidates of this.#candidates(selection)) {
      const server = this.#among(candidates, selection);
      if (server !== undefined) return server;
    }
    return undefined;
  }

  #among(
    candidates: readonly ServerRecord[],
    selection: Selection,
  ): ServerRecord | undefined {
    const { affinityChoice, vmSettings, clock } = this.#deps;
    const dataCentre: DataCentreId = vmSettings.dataCentre;
    return affinityChoice.choose({
      candidates,
      affinity: promptKeyOf(selection.head, selection.model),
      dataCentre,
      tried: selection.tried,
      sharedMs: selection.sharedMs,
      nowMs: clock.monotonicMs(),
    });
  }

  /** Sets of servers to choose from, the best set first. */
  #candidates({ service, head }: Selection): (readonly ServerRecord[])[] {
    const { serverDirectory, releaseGate, rollOutFollower } = this.#deps;
    const { evacuationFollower, coldServerGuard } = this.#deps;
    if (!rollOutFollower.ready || !evacuationFollower.ready) return [];
    const nowMs = this.#deps.clock.monotonicMs();
    const servers = serverDirectory.usable(service);
    const { stable, trial } = releaseGate.split(service, { servers, nowMs });
    return this.#deps.releaseChoice.choose({
      service,
      allowed: {
        stable: coldServerGuard.bearing(service, stable),
        trial: coldServerGuard.bearing(service, trial),
      },
      share: releaseGate.trialShare(service),
      session: sessionOf(head),
      requestKey: head.attempt ?? "",
      nowMs,
    });
  }
}

/**
 * Returns what stands for the session of a request. The last part of a prompt may be the
 * request's own or the session's; all requests of a session share the part before it.
 */
export function sessionOf(head: CallerHead): PromptPartId | undefined {
  return longestSharedPart(head);
}

/** What requests have in common that gain from one server; undefined if nothing. */
export function promptKeyOf(
  head: CallerHead,
  model: ModelId | undefined,
): PromptKey | undefined {
  const shared = longestSharedPart(head);
  return shared === undefined ? undefined : `${model ?? ""}/${shared}`;
}

/** The last part that other requests may have in common with this one. */
function longestSharedPart(
  { promptParts }: CallerHead,
): PromptPartId | undefined {
  const part = promptParts.length >= 2 ? promptParts.at(-2) : promptParts[0];
  return part?.id;
}
