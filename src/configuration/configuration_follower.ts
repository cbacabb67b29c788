/** Keeps the configuration in force up to date, by the platform and by peers. */

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

/** How long one watch call waits for a change. */
const WATCH_WAIT_MS = 1_500;
/** Wait before the platform is asked again after an error. */
const RETRY_MS = 500;
/** Wait before an entry that is no relay looks whether it has become one. */
const ROLE_CHECK_MS = 500;
/** Time between looks for a peer with a later revision. */
const PEER_CHECK_MS = 250;

/** Why the platform is asked, for the metrics. */
export type AskKind = "watch" | "confirm";

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

/** Follows the head. */
export class ConfigurationFollower {
  readonly #deps: Deps;
  readonly #peerCheck = new RepeatedTask({
    intervalMs: PEER_CHECK_MS,
    run: () => this.#learnFromPeers(),
  });
  readonly #stop = new AbortController();
  #headVersion = 0;
  #platformAway = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts to follow. */
  start(): void {
    this.#peerCheck.start();
    void this.#watchLoop();
  }

  /** Stops to follow. */
  stop(): void {
    this.#peerCheck.stop();
    this.#stop.abort();
  }

  async #watchLoop(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (!this.#deps.relayRole.isRelay) {
        await pause(ROLE_CHECK_MS);
        continue;
      }
      const answered = await this.ask("watch", WATCH_WAIT_MS);
      if (!answered) await pause(RETRY_MS);
    }
  }

  /**
   * Asks the platform for a later head, waits so long for one, and takes it. Returns
   * whether the platform answered in a way that confirms what is in force.
   */
  async ask(kind: AskKind, waitMs: number): Promise<boolean> {
    if (waitMs <= 0) return await this.#confirmByRead(kind);
    const { platform, clock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const answer = await platform.watch(HEAD_KEY, {
      afterVersion: this.#headVersion,
      waitMs,
      signal: this.#stop.signal,
    });
    if (!this.#noteAnswer(kind, answer)) return false;
    // A watch that hears nothing may be stuck; only a read shows that nothing changed.
    if (answer.value === undefined) return await this.#confirmByRead("confirm");
    return await this.#confirmBy(answer.value, startedMs);
  }

  async #confirmByRead(kind: AskKind): Promise<boolean> {
    const { platform, clock } = this.#deps;
    const startedMs = clock.monotonicMs();
    const { signal } = this.#stop;
    const answer = await platform.get(HEAD_KEY, { signal });
    if (!answer.ok && answer.error.tag === "missing") {
      this.#notePlatform(undefined);
      if (this.#headVersion > 0) return false;
      this.#confirm(startedMs);
      return true;
    }
    if (!this.#noteAnswer(kind, answer)) return false;
    return await this.#confirmBy(answer.value, startedMs);
  }

  /** Counts an answer; returns whether there was one and it still matters. */
  #noteAnswer<T>(
    kind: AskKind,
    answer: Result<T, PlatformError>,
  ): answer is { readonly ok: true; readonly value: T } {
    if (this.#stop.signal.aborted) return false;
    const outcome = answer.ok ? "answered" : answer.error.tag;
    this.#deps.entryMetrics.platformCalls.inc({ kind, outcome });
    this.#notePlatform(answer.ok ? undefined : answer.error);
    return answer.ok;
  }

  async #confirmBy(
    object: PlatformObject,
    startedMs: number,
  ): Promise<boolean> {
    // An answer from before what is known says nothing of the time since.
    if (object.version < this.#headVersion) return false;
    const known = object.version === this.#headVersion;
    if (!known && !await this.#takeObject(object)) return false;
    this.#confirm(startedMs);
    return true;
  }

  #confirm(startedMs: number): void {
    const { freshness, platformContact } = this.#deps;
    freshness.confirm(startedMs);
    platformContact.recordHeadRead();
  }

  async #takeObject({ value, version }: PlatformObject): Promise<boolean> {
    const head = parseHead(value);
    if (head === undefined) {
      this.#deps.logger.warn("Head in the platform is not understood");
      return false;
    }
    const taken = await this.#take(head, undefined);
    if (taken) this.#headVersion = Math.max(this.#headVersion, version);
    return taken;
  }

  async #learnFromPeers(): Promise<void> {
    const { memberTable, configurationStore, peers } = this.#deps;
    const ahead = memberTable.others()
      .filter((member) => member.revision > configurationStore.revision)
      .sort((a, b) => b.revision - a.revision)[0];
    if (ahead === undefined) return;
    const answer = await peers.head(ahead.peers, configurationStore.revision);
    if (!answer.ok) return;
    const head = "head" in answer.value
      ? answer.value.head
      : applyHeadDelta(configurationStore.head, answer.value.delta);
    if (head !== undefined) await this.#take(head, ahead.peers);
  }

  async #take(head: Head, peer: string | undefined): Promise<boolean> {
    const { configurationStore, configurationLoader, memberTable, logger } =
      this.#deps;
    if (head.revision <= configurationStore.revision) return true;
    const loaded = await configurationLoader.load(head, peer);
    if (!loaded.ok) {
      logger.warn("Configuration cannot be loaded", {
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
    if (peer === undefined) this.#announce();
    return true;
  }

  /** A relay tells its data centre at once; news between data centres spreads by probes. */
  #announce(): void {
    const { memberTable, prober } = this.#deps;
    const { self } = memberTable;
    const near = memberTable.others().filter((member) =>
      member.data_centre === self.data_centre && member.revision < self.revision
    );
    void prober.announce(near);
  }

  #notePlatform(err: PlatformError | undefined): void {
    const away = err !== undefined && err.tag !== "missing";
    if (away === this.#platformAway) return;
    this.#platformAway = away;
    if (away) this.#deps.logger.warn("Platform is away", { reason: err.tag });
    else this.#deps.logger.info("Platform is back");
  }
}
