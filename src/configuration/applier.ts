/** Applies a configuration as a whole: objects first, then one conditional update. */

import type { Configuration } from "../core/config/configuration.ts";
import type { HolderReport } from "../core/config/holder_report.ts";
import {
  splitConfiguration,
  type StoredObject,
} from "../core/config/object_split.ts";
import {
  acceptedRevision,
  type Head,
  HEAD_KEY,
  nextHead,
  objectKey,
} from "../core/config/stored_configuration.ts";
import { NO_REVISION, type Revision } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import {
  describePlatformError,
  type Platform,
  type PlatformError,
} from "../platform/platform.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Deadline } from "../runtime/deadline.ts";
import { sha256 } from "../runtime/hashing.ts";
import { pause } from "../runtime/pause.ts";
import { AcceptanceCheck } from "./acceptance_check.ts";
import { type HeadRecord, readHead } from "./head_reader.ts";

const RETRY_MS = 200;
/** Time between looks whether enough entry VMs hold a revision. */
const HELD_POLL_MS = 100;

/** How an apply ended. */
export type ApplyOutcome =
  /** Enough entry VMs hold it: from now on none serves by an earlier one for long. */
  | { readonly tag: "accepted"; readonly revision: Revision }
  /** The same configuration is in force already. */
  | { readonly tag: "unchanged"; readonly revision: Revision }
  /** Another operator was faster; nothing of this apply is in force. */
  | {
    readonly tag: "conflict";
    readonly basedOn: Revision;
    readonly current: Revision;
  }
  /** Platform could not be asked in time, before anything was accepted. */
  | { readonly tag: "unavailable"; readonly reason: string }
  /** Platform may have taken the update, or too few entry VMs were known to hold it in time. */
  | { readonly tag: "unknown"; readonly reason: string };

/** What to apply. */
export interface ApplyInput {
  readonly configuration: Configuration;
  /** Names this apply; the same id given again settles an unknown outcome. */
  readonly applyId: string;
  /** Revision that must be in force; the one found when absent. */
  readonly expectedRevision?: Revision;
  readonly deadline: Deadline;
}

interface Deps {
  readonly platform: Platform;
  readonly clock: Clock;
}

/** Applies configurations. */
export class Applier {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Applies, and settles lost answers as long as the deadline allows. */
  async apply(input: ApplyInput): Promise<ApplyOutcome> {
    const current = await this.#retry(
      input.deadline,
      () => readHead(this.#deps.platform),
    );
    if (!current.ok) return { tag: "unavailable", reason: current.error };
    const already = acceptedRevision(current.value.head, input.applyId);
    if (already !== undefined) {
      return await this.#awaitHeld(already, { tag: "accepted", input });
    }
    const basedOn = current.value.head?.revision ?? NO_REVISION;
    if (
      input.expectedRevision !== undefined && input.expectedRevision !== basedOn
    ) {
      return {
        tag: "conflict",
        basedOn: input.expectedRevision,
        current: basedOn,
      };
    }
    const objects = splitConfiguration(input.configuration, sha256);
    if (isSame(current.value.head, objects)) {
      return await this.#awaitHeld(basedOn, { tag: "unchanged", input });
    }
    const stored = await this.#storeObjects(objects, {
      head: current.value.head,
      input,
    });
    if (!stored.ok) return { tag: "unavailable", reason: stored.error };
    return await this.#accept(current.value, { objects, input });
  }

  async #storeObjects(
    objects: readonly StoredObject[],
    { head, input }: { head: Head | undefined; input: ApplyInput },
  ): Promise<Result<undefined, string>> {
    const known = new Set(head?.objects.map(({ sha256 }) => sha256));
    for (const { ref, text } of objects) {
      if (known.has(ref.sha256)) continue;
      const written = await this.#retry(input.deadline, async () => {
        const put = await this.#deps.platform.put(objectKey(ref.sha256), {
          value: text,
          expectedVersion: 0,
        });
        // An object is named after its content, so another writer wrote the same.
        return !put.ok && put.error.tag === "conflict" ? ok(0) : put;
      });
      if (!written.ok) return written;
    }
    return ok(undefined);
  }

  /**
   * After a lost answer the same conditional update is sent again: it either takes
   * effect now, or fails because some update took effect, ours or another's.
   */
  async #accept(
    current: HeadRecord,
    { objects, input }: { objects: readonly StoredObject[]; input: ApplyInput },
  ): Promise<ApplyOutcome> {
    const head = nextHead(current.head, {
      objects: objects.map(({ ref }) => ref),
      applyId: input.applyId,
      nowMs: this.#deps.clock.wallMs(),
    });
    const put = () =>
      this.#deps.platform.put(HEAD_KEY, {
        value: JSON.stringify(head),
        expectedVersion: current.version,
      });
    let uncertain = false;
    const written = await this.#retry<number | undefined>(
      input.deadline,
      async () => {
        const answer = await put();
        if (!answer.ok && answer.error.tag === "conflict") return ok(undefined);
        uncertain ||= !answer.ok && answer.error.tag === "uncertain";
        return answer;
      },
    );
    if (!written.ok) {
      return {
        tag: uncertain ? "unknown" : "unavailable",
        reason: written.error,
      };
    }
    if (written.value !== undefined) {
      return await this.#awaitHeld(head.revision, { tag: "accepted", input });
    }
    return await this.#settle(input, {
      basedOn: current.head?.revision ?? NO_REVISION,
    });
  }

  async #settle(
    input: ApplyInput,
    { basedOn }: { basedOn: Revision },
  ): Promise<ApplyOutcome> {
    const now = await this.#retry(
      input.deadline,
      () => readHead(this.#deps.platform),
    );
    if (!now.ok) return { tag: "unknown", reason: now.error };
    const revision = acceptedRevision(now.value.head, input.applyId);
    if (revision !== undefined) {
      return await this.#awaitHeld(revision, { tag: "accepted", input });
    }
    return {
      tag: "conflict",
      basedOn,
      current: now.value.head?.revision ?? NO_REVISION,
    };
  }

  /**
   * Waits until a majority of every roster holds the revision. Entry VMs that lose the platform
   * at any later moment then learn of it from each other.
   */
  async #awaitHeld(
    revision: Revision,
    { tag, input }: { tag: "accepted" | "unchanged"; input: ApplyInput },
  ): Promise<ApplyOutcome> {
    const { platform } = this.#deps;
    const check = new AcceptanceCheck(platform, revision);
    for (;;) {
      const behind = await check.behind();
      if (behind.ok && behind.value.length === 0) return { tag, revision };
      if (input.deadline.remainingMs() < HELD_POLL_MS) {
        const reason = behind.ok
          ? describeBehind(revision, behind.value)
          : describePlatformError(behind.error);
        return { tag: "unknown", reason };
      }
      await pause(HELD_POLL_MS);
    }
  }

  /** Retries a call while the platform is away and there is time. */
  async #retry<T>(
    deadline: Deadline,
    call: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, string>> {
    for (;;) {
      const answer = await call();
      if (answer.ok) return answer;
      if (deadline.remainingMs() < RETRY_MS) {
        return fail(describePlatformError(answer.error));
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }
}

function describeBehind(
  revision: Revision,
  behind: readonly HolderReport[],
): string {
  const entries = behind.map(({ entry }) => entry).join(", ");
  return `Revision ${revision} is written, but too few of the entry VMs that ` +
    `${entries} would ask in an outage have reported it`;
}

function isSame(
  head: Head | undefined,
  objects: readonly StoredObject[],
): boolean {
  if (head === undefined || head.objects.length !== objects.length) {
    return false;
  }
  return objects.every(({ ref }, at) =>
    head.objects[at]?.sha256 === ref.sha256
  );
}
