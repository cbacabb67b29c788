/**
 * Applies a configuration atomically: writes its objects, then updates the head with one
 * conditional write.
 */

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

const PLATFORM_RETRY_DELAY_MS = 200;
/** Interval of checking whether a majority of every roster holds the revision. */
const MAJORITY_POLL_INTERVAL_MS = 100;

/** Outcome of an apply. */
export type ApplyOutcome =
  /** A majority of every roster holds the revision; earlier revisions go out of use shortly. */
  | { readonly tag: "accepted"; readonly revision: Revision }
  /** The same configuration was already in force. */
  | { readonly tag: "unchanged"; readonly revision: Revision }
  /** Another apply updated the head first; this one had no effect. */
  | {
    readonly tag: "conflict";
    readonly basedOn: Revision;
    readonly current: Revision;
  }
  /** The platform did not respond in time; the head was not updated. */
  | { readonly tag: "unavailable"; readonly reason: string }
  /** The update may have been written, or too few entry VMs reported the revision in time. */
  | { readonly tag: "unknown"; readonly reason: string };

/** Configuration to apply, and the conditions of the apply. */
export interface ApplyInput {
  readonly configuration: Configuration;
  /** Identifies this apply; applying again with the same id resolves an unknown outcome. */
  readonly applyId: string;
  /** Revision that must be in force; defaults to the current one. */
  readonly expectedRevision?: Revision;
  readonly deadline: Deadline;
}

interface Deps {
  readonly platform: Platform;
  readonly clock: Clock;
}

/** Applies configurations through the platform. */
export class Applier {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Applies a configuration; resolves lost responses until the deadline. */
  async apply(input: ApplyInput): Promise<ApplyOutcome> {
    const current = await this.#retryUntilDeadline(
      input.deadline,
      () => readHead(this.#deps.platform),
    );
    if (!current.ok) return { tag: "unavailable", reason: current.error };
    const acceptedAs = acceptedRevision(current.value.head, input.applyId);
    if (acceptedAs !== undefined) {
      return await this.#awaitMajorities(acceptedAs, {
        tag: "accepted",
        input,
      });
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
    if (hasSameObjects(current.value.head, objects)) {
      return await this.#awaitMajorities(basedOn, { tag: "unchanged", input });
    }
    const stored = await this.#storeObjects(objects, {
      head: current.value.head,
      input,
    });
    if (!stored.ok) return { tag: "unavailable", reason: stored.error };
    return await this.#writeHead(current.value, { objects, input });
  }

  async #storeObjects(
    objects: readonly StoredObject[],
    { head, input }: { head: Head | undefined; input: ApplyInput },
  ): Promise<Result<undefined, string>> {
    const storedHashes = new Set(head?.objects.map(({ sha256 }) => sha256));
    for (const { ref, text } of objects) {
      if (storedHashes.has(ref.sha256)) continue;
      const writeResult = await this.#retryUntilDeadline(
        input.deadline,
        async () => {
          const put = await this.#deps.platform.put(objectKey(ref.sha256), {
            value: text,
            expectedVersion: 0,
          });
          // Objects are keyed by content hash, so a conflicting write stored the same content.
          return !put.ok && put.error.tag === "conflict" ? ok(0) : put;
        },
      );
      if (!writeResult.ok) return writeResult;
    }
    return ok(undefined);
  }

  /**
   * After a lost response, the same conditional write is sent again. It either takes effect, or
   * conflicts because the lost write or another writer's took effect.
   */
  async #writeHead(
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
    let mayBeWritten = false;
    const writeResult = await this.#retryUntilDeadline<number | undefined>(
      input.deadline,
      async () => {
        const answer = await put();
        if (!answer.ok && answer.error.tag === "conflict") return ok(undefined);
        mayBeWritten ||= !answer.ok && answer.error.tag === "uncertain";
        return answer;
      },
    );
    if (!writeResult.ok) {
      return {
        tag: mayBeWritten ? "unknown" : "unavailable",
        reason: writeResult.error,
      };
    }
    if (writeResult.value !== undefined) {
      return await this.#awaitMajorities(head.revision, {
        tag: "accepted",
        input,
      });
    }
    return await this.#resolveConflict(input, {
      basedOn: current.head?.revision ?? NO_REVISION,
    });
  }

  async #resolveConflict(
    input: ApplyInput,
    { basedOn }: { basedOn: Revision },
  ): Promise<ApplyOutcome> {
    const latest = await this.#retryUntilDeadline(
      input.deadline,
      () => readHead(this.#deps.platform),
    );
    if (!latest.ok) return { tag: "unknown", reason: latest.error };
    const revision = acceptedRevision(latest.value.head, input.applyId);
    if (revision !== undefined) {
      return await this.#awaitMajorities(revision, { tag: "accepted", input });
    }
    return {
      tag: "conflict",
      basedOn,
      current: latest.value.head?.revision ?? NO_REVISION,
    };
  }

  /**
   * Waits until a majority of every roster holds the revision. Entry VMs that lose contact with
   * the platform later can then receive the revision from each other.
   */
  async #awaitMajorities(
    revision: Revision,
    { tag, input }: { tag: "accepted" | "unchanged"; input: ApplyInput },
  ): Promise<ApplyOutcome> {
    const { platform } = this.#deps;
    const check = new AcceptanceCheck(platform, revision);
    for (;;) {
      const lagging = await check.reportsWithoutMajority();
      if (lagging.ok && lagging.value.length === 0) return { tag, revision };
      if (input.deadline.remainingMs() < MAJORITY_POLL_INTERVAL_MS) {
        const reason = lagging.ok
          ? describeMissingMajorities(revision, lagging.value)
          : describePlatformError(lagging.error);
        return { tag: "unknown", reason };
      }
      await pause(MAJORITY_POLL_INTERVAL_MS);
    }
  }

  /** Retries a call that the platform did not answer successfully, until the deadline. */
  async #retryUntilDeadline<T>(
    deadline: Deadline,
    call: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, string>> {
    for (;;) {
      const answer = await call();
      if (answer.ok) return answer;
      if (deadline.remainingMs() < PLATFORM_RETRY_DELAY_MS) {
        return fail(describePlatformError(answer.error));
      }
      await new Promise((resolve) =>
        setTimeout(resolve, PLATFORM_RETRY_DELAY_MS)
      );
    }
  }
}

function describeMissingMajorities(
  revision: Revision,
  lagging: readonly HolderReport[],
): string {
  const entries = lagging.map(({ entry }) => entry).join(", ");
  return `Revision ${revision} is written, but not reported by a majority ` +
    `of the rosters of these entry VMs: ${entries}`;
}

function hasSameObjects(
  head: Head | undefined,
  objects: readonly StoredObject[],
): boolean {
  if (head === undefined || head.objects.length !== objects.length) {
    return false;
  }
  return objects.every(({ ref }, index) =>
    head.objects[index]?.sha256 === ref.sha256
  );
}
