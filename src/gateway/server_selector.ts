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
import type { SessionBook } from "../core/rollout/session_book.ts";
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
  readonly releaseChoice: ReleaseChoice;
  readonly rollOutFollower: RollOutFollower;
  readonly evacuationFollower: EvacuationFollower;
  readonly affinityChoice: AffinityChoice;
  readonly promptHolders: PromptHolders;
  readonly sessionBook: SessionBook;
  readonly attemptAcks: Pick<AttemptAcks, "isUnresponsive">;
  readonly clock: Clock;
  readonly chance: () => number;
}

/** What a server is chosen for. */
export interface Selection {
  readonly service: ServiceId;
  readonly head: CallerHead;
  readonly model: ModelId | undefined;
  readonly tried: ReadonlySet<InstanceId>;
  /** Whether servers may have read the request before. */
  readonly isRetry: boolean;
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
    const { serverAdmission } = this.#deps;
    for (const candidates of this.#candidates(selection)) {
      const open = this.#responsive(
        serverAdmission.filterAvailable(candidates),
        selection,
      );
      const server = this.#among(open, selection);
      if (server !== undefined) return server;
      // A session keeps its release where none of its servers has room: they soon have again.
      const noneOpen = open.length === 0 && candidates.length > 0;
      if (noneOpen && this.#belongsTo(selection, candidates)) return undefined;
    }
    return undefined;
  }

  /**
   * Milliseconds until one of the servers that a request may go to takes it, where all of them
   * rest or are cold; undefined otherwise.
   */
  opensInMs(selection: Selection): number | undefined {
    const { serverDirectory, serverAdmission } = this.#deps;
    const [first = []] = this.#candidates(selection);
    const bound = this.#belongsTo(selection, first);
    return serverAdmission.opensInMs(
      bound ? first : serverDirectory.usable(selection.service),
    );
  }

  /** Servers that would take a request if another VM lent this one a place there. */
  lacking(selection: Selection): readonly ServerRecord[] {
    const { serverAdmission } = this.#deps;
    const sets = this.#candidates(selection);
    const [first = []] = sets;
    const servers = this.#belongsTo(selection, first) ? first : sets.flat();
    return this.#responsive(
      serverAdmission.filterWithoutPermit(servers),
      selection,
    )
      .filter(({ instance }) => !selection.tried.has(instance));
  }

  /** A retry that lies unread at a stopped server helps no caller, and counts as it is read. */
  #responsive(
    servers: readonly ServerRecord[],
    { isRetry }: Selection,
  ): readonly ServerRecord[] {
    if (!isRetry) return servers;
    const { attemptAcks } = this.#deps;
    return servers.filter((server) => !attemptAcks.isUnresponsive(server));
  }

  /** Whether the session of a request runs on the release of these servers. */
  #belongsTo(
    { head }: Selection,
    candidates: readonly ServerRecord[],
  ): boolean {
    const { sessionBook, clock } = this.#deps;
    const session = sessionOf(head);
    const release = candidates[0]?.release;
    if (session === undefined || release === undefined) return false;
    return sessionBook.releaseOf(session, clock.monotonicMs()) === release;
  }

  #among(
    candidates: readonly ServerRecord[],
    selection: Selection,
  ): ServerRecord | undefined {
    const { affinityChoice, serverAdmission, vmSettings, clock } = this.#deps;
    const dataCentre: DataCentreId = vmSettings.dataCentre;
    return affinityChoice.choose({
      candidates,
      affinity: promptKeyOf(selection.head, selection.model),
      dataCentre,
      tried: selection.tried,
      limited: serverAdmission.filterRateLimited(candidates),
      sharedMs: selection.sharedMs,
      nowMs: clock.monotonicMs(),
    });
  }

  /** Sets of servers to choose from, the best set first; some of them may take nothing now. */
  #candidates({ service, head }: Selection): (readonly ServerRecord[])[] {
    const { serverDirectory, releaseGate, rollOutFollower } = this.#deps;
    const { evacuationFollower, serverAdmission } = this.#deps;
    if (!rollOutFollower.ready || !evacuationFollower.ready) return [];
    const nowMs = this.#deps.clock.monotonicMs();
    const servers = serverDirectory.usable(service);
    const { stable, trial } = releaseGate.split(service, { servers, nowMs });
    return this.#deps.releaseChoice.choose({
      service,
      allowed: {
        stable: serverAdmission.filterBySlowStart(service, stable),
        trial: this.#ofTrial(service, trial),
      },
      share: releaseGate.trialShare(service),
      session: sessionOf(head),
      requestKey: head.attempt ?? "",
      nowMs,
    });
  }

  /** Of a trial few servers are used; others take the place of those that take nothing now. */
  #ofTrial(
    service: ServiceId,
    trial: readonly ServerRecord[],
  ): readonly ServerRecord[] {
    const { serverAdmission } = this.#deps;
    const bearing = serverAdmission.filterBySlowStart(service, trial);
    const open = serverAdmission.filterAvailable(bearing);
    return open.length > 0 ? open : bearing;
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
