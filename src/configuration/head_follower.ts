/** Keeps the configuration up to date from the platform and from peers. */

import { pause } from "../runtime/pause.ts";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { Freshness } from "../core/config/freshness.ts";
import type { PlatformContact } from "../core/config/platform_contact.ts";
import { applyHeadDelta } from "../core/config/head_delta.ts";
import { type Head, HEAD_KEY } from "../core/config/stored_configuration.ts";
import type { Result } from "../core/result.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { Peers } from "../peers/peers.ts";
import type { Platform, PlatformError } from "../platform/platform.ts";
import type { Clock } from "../runtime/clock.ts";
import type { PlatformObject } from "../protocol/platform_schema.ts";
import type { Logger } from "../runtime/logger.ts";
import type { Prober } from "../peers/prober.ts";
import type { RelayRole } from "../peers/relay_role.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import { parseHead } from "./head_reader.ts";
import type { ConfigurationLoader } from "./configuration_loader.ts";

/** Maximum wait of one watch call for a change. */
const WATCH_TIMEOUT_MS = 1_500;
/** Delay before the platform is called again after an error. */
const PLATFORM_RETRY_DELAY_MS = 500;
/** Interval at which an entry VM that is not a relay checks whether it has become one. */
const ROLE_CHECK_INTERVAL_MS = 500;
/** Interval of checking for a peer with a later revision. */
const PEER_CHECK_INTERVAL_MS = 250;

/** Kind of a platform call, as a metric label. */
export type PlatformCallKind = "watch" | "confirm";

interface Deps {
  readonly platform: Platform;
  readonly peers: Peers;
  readonly memberTable: MemberTable;
  readonly relayRole: RelayRole;
  readonly prober: Prober;
  readonly configurationStore: ConfigurationStore;
  readonly configurationLoader: ConfigurationLoader;
  readonly freshness: Freshness;
  readonly platformContact: PlatformContact;
  readonly clock: Clock;
  readonly entryMetrics: EntryMetrics;
  readonly logger: Logger;
}

/** Follows the configuration head. */
export class HeadFollower {
  readonly #deps: Deps;
  readonly #peerCheck = new RepeatedTask({
    intervalMs: PEER_CHECK_INTERVAL_MS,
    run: () => this.#pullFromPeers(),
  });
  readonly #stop = new AbortController();
  #headVersion = 0;
  #platformFailed = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  start(): void {
    this.#peerCheck.start();
    void this.#watchLoop();
  }

  stop(): void {
    this.#peerCheck.stop();
    this.#stop.abort();
  }

  async #watchLoop(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (!this.#deps.relayRole.isRelay) {
        await pause(ROLE_CHECK_INTERVAL_MS);
        continue;
      }
      const answered = await this.refresh("watch", WATCH_TIMEOUT_MS);
      if (!answered) await pause(PLATFORM_RETRY_DELAY_MS);
    }
  }

  /**
   * Waits up to `waitMs` for a later head in the platform and applies it; reads the head if
   * `waitMs` is 0. Returns whether the response confirms the configuration in force.
   */
  async refresh(kind: PlatformCallKind, waitMs: number): Promise<boolean> {
    if (waitMs <= 0) return await this.#confirmByRead(kind);
    const { platform, clock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const answer = await platform.watch(HEAD_KEY, {
      afterVersion: this.#headVersion,
      waitMs,
      signal: this.#stop.signal,
    });
    if (!this.#recordAnswer(kind, answer)) return false;
    // A watch without events may be stuck; only a read confirms that nothing has changed.
    if (answer.value === undefined) return await this.#confirmByRead("confirm");
    return await this.#confirmByObject(answer.value, startedMs);
  }

  async #confirmByRead(kind: PlatformCallKind): Promise<boolean> {
    const { platform, clock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const { signal } = this.#stop;
    const answer = await platform.get(HEAD_KEY, { signal });
    if (!answer.ok && answer.error.tag === "missing") {
      this.#logPlatformTransition(undefined);
      if (this.#headVersion > 0) return false;
      this.#confirm(startedMs);
      return true;
    }
    if (!this.#recordAnswer(kind, answer)) return false;
    return await this.#confirmByObject(answer.value, startedMs);
  }

  /** Counts a response; returns whether it succeeded before the follower was stopped. */
  #recordAnswer<T>(
    kind: PlatformCallKind,
    answer: Result<T, PlatformError>,
  ): answer is { readonly ok: true; readonly value: T } {
    if (this.#stop.signal.aborted) return false;
    const outcome = answer.ok ? "answered" : answer.error.tag;
    this.#deps.entryMetrics.platformCalls.inc({ kind, outcome });
    this.#logPlatformTransition(answer.ok ? undefined : answer.error);
    return answer.ok;
  }

  async #confirmByObject(
    object: PlatformObject,
    startedMs: number,
  ): Promise<boolean> {
    // A response older than the known head does not confirm the head since then.
    if (object.version < this.#headVersion) return false;
    const isKnown = object.version === this.#headVersion;
    if (!isKnown && !await this.#applyHeadObject(object)) return false;
    this.#confirm(startedMs);
    return true;
  }

  #confirm(startedMs: number): void {
    const { freshness, platformContact } = this.#deps;
    freshness.confirm(startedMs);
    platformContact.recordHeadRead();
  }

  async #applyHeadObject({ value, version }: PlatformObject): Promise<boolean> {
    const head = parseHead(value);
    if (head === undefined) {
      this.#deps.logger.warn(
        "Configuration head in the platform has an unsupported format",
      );
      return false;
    }
    const applied = await this.#applyHead(head, undefined);
    if (applied) this.#headVersion = Math.max(this.#headVersion, version);
    return applied;
  }

  async #pullFromPeers(): Promise<void> {
    const { memberTable, configurationStore, peers } = this.#deps;
    const mostRecent = memberTable.others()
      .filter((member) => member.revision > configurationStore.revision)
      .sort((a, b) => b.revision - a.revision)[0];
    if (mostRecent === undefined) return;
    const answer = await peers.head(
      mostRecent.peers,
      configurationStore.revision,
    );
    if (!answer.ok) return;
    const head = "head" in answer.value
      ? answer.value.head
      : applyHeadDelta(configurationStore.head, answer.value.delta);
    if (head !== undefined) await this.#applyHead(head, mostRecent.peers);
  }

  async #applyHead(head: Head, peer: string | undefined): Promise<boolean> {
    const { configurationStore, configurationLoader, memberTable, logger } =
      this.#deps;
    if (head.revision <= configurationStore.revision) return true;
    const loaded = await configurationLoader.load(head, peer);
    if (!loaded.ok) {
      logger.warn("Configuration could not be loaded", {
        revision: head.revision,
        reason: loaded.error,
      });
      return false;
    }
    if (!configurationStore.offer(loaded.value)) return true;
    memberTable.setOwnRevision(head.revision);
    this.#deps.entryMetrics.revision.set(head.revision);
    logger.info("Configuration is in force", {
      revision: head.revision,
      source: peer ?? "platform",
    });
    if (peer === undefined) this.#announceToDataCentre();
    return true;
  }

  /**
   * Announces the revision in this data centre immediately; probes carry it to other data centres.
   */
  #announceToDataCentre(): void {
    const { memberTable, prober } = this.#deps;
    const { self } = memberTable;
    const outdatedNeighbours = memberTable.others().filter((member) =>
      member.data_centre === self.data_centre && member.revision < self.revision
    );
    void prober.announce(outdatedNeighbours);
  }

  #logPlatformTransition(err: PlatformError | undefined): void {
    const failed = err !== undefined && err.tag !== "missing";
    if (failed === this.#platformFailed) return;
    this.#platformFailed = failed;
    if (failed) this.#deps.logger.warn("Platform failed", { reason: err.tag });
    else this.#deps.logger.info("Platform recovered");
  }
}
