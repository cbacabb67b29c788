/** Chooses between the stable release of a service and the one on trial. */

import type { PromptPartId, ReleaseId, ServiceId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";
import type { ServerRecord } from "../servers/server_record.ts";
import type { AllowedReleases } from "./release_gate.ts";
import type { SessionBook } from "./session_book.ts";
import { sessionPoint, TOLD_SHARE } from "./session_point.ts";

/** What the choice depends on. */
export interface ReleaseChoiceInput {
  readonly service: ServiceId;
  readonly allowed: AllowedReleases;
  /** Share of sessions on trial, 0 to 1. */
  readonly share: number;
  /** Undefined for requests that belong to no session. */
  readonly session: PromptPartId | undefined;
  /** Stands for the session where there is none. */
  readonly requestKey: string;
  readonly nowMs: number;
}

/** Decides by session, the same on every VM. */
export class ReleaseChoice {
  readonly #sessionBook: SessionBook;
  readonly #unitHash: UnitHash;

  constructor(
    { sessionBook, unitHash }: { sessionBook: SessionBook; unitHash: UnitHash },
  ) {
    this.#sessionBook = sessionBook;
    this.#unitHash = unitHash;
  }

  /** Returns the servers that a request may go to, best first where there are two sets. */
  choose(input: ReleaseChoiceInput): (readonly ServerRecord[])[] {
    const { allowed, share } = input;
    if (allowed.trial.length === 0 || share <= 0) return [allowed.stable];
    const trial = this.#trialServers(input);
    if (this.#onTrial(input)) return [trial, allowed.stable];
    return [allowed.stable];
  }

  #onTrial({ allowed, share, session, requestKey, nowMs }: ReleaseChoiceInput) {
    const trialRelease = allowed.trial[0]?.release;
    const point = session === undefined
      ? this.#unitHash(`request/${requestKey}`)
      : sessionPoint(session, this.#unitHash);
    const last: ReleaseId | undefined = session === undefined
      ? undefined
      : this.#sessionBook.releaseOf(session, nowMs);
    if (last !== undefined && last === trialRelease) return true;
    // While a trial is small, sessions that run keep the release that they have.
    if (last !== undefined && share <= TOLD_SHARE) return false;
    return point < share;
  }

  /** So few servers that each has as much work as one of the stable release. */
  #trialServers({ allowed, share, service }: ReleaseChoiceInput) {
    const count = Math.max(1, Math.ceil(share * allowed.trial.length));
    return allowed.trial
      .map((server) => ({
        server,
        rank: this.#unitHash(`trial/${service}/${server.instance}`),
      }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ server }) => server);
  }
}
