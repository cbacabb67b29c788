/** Reports held revisions and this entry VM's roster to the platform. */

import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import {
  type HolderReport,
  holderReportKey,
} from "../core/config/holder_report.ts";
import type { EntryId } from "../core/ids.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import type { EntryMetrics } from "../metrics/entry_metrics.ts";
import type { RelayRole } from "../peers/relay_role.ts";
import type { VmViewHolder } from "../peers/vm_view_holder.ts";
import {
  describePlatformError,
  type Platform,
  type PlatformError,
} from "../platform/platform.ts";
import type { Logger } from "../runtime/logger.ts";
import { pause } from "../runtime/pause.ts";
import { RepeatedTask } from "../runtime/repeated_task.ts";
import type { HeadFollower } from "./head_follower.ts";

/** Interval of checking whether the report has changed. */
const CHECK_INTERVAL_MS = 100;
/** Delay after a failed report or confirmation. */
const RETRY_DELAY_MS = 500;
/**
 * Attempts to withdraw the roster; limited so that an unavailable platform does not delay a stop.
 */
const WITHDRAW_ATTEMPTS = 2;

interface Deps {
  readonly platform: Platform;
  readonly configurationStore: ConfigurationStore;
  readonly headFollower: HeadFollower;
  readonly memberTable: MemberTable;
  readonly relayRole: RelayRole;
  readonly vmViewHolder: VmViewHolder;
  readonly entryMetrics: EntryMetrics;
  readonly logger: Logger;
}

/** Relays report for themselves and for the followers in their data centre. */
export class HolderReporter {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: CHECK_INTERVAL_MS,
    run: () => this.#check(),
  });
  /** Stored version of this entry VM's report; undefined while unknown. */
  #version: number | undefined;
  /** Last report that the platform acknowledged. */
  #storedReport: HolderReport | undefined;
  /**
   * False while a later write, whose outcome is unknown, may have replaced the acknowledged report.
   */
  #isLastWriteStored = false;
  /** The roster in force, followed by later ones that may be stored in the platform. */
  #rosters: (readonly EntryId[])[] = [];
  /** Whether the head has been read since the first of these rosters was stored. */
  #isConfirmed = false;
  #failing = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  start(): void {
    this.#task.start();
  }

  stop(): void {
    this.#task.stop();
  }

  /** Withdraws the roster: an entry VM that stops no longer needs confirmation by a majority. */
  async withdraw(): Promise<void> {
    const reported = this.#storedReport;
    if (reported === undefined) return;
    // A report still in flight may be written first and cause a version conflict.
    for (let attempt = 0; attempt < WITHDRAW_ATTEMPTS; attempt++) {
      if (await this.#write({ ...reported, roster: [], held: [] })) return;
      await pause(RETRY_DELAY_MS);
    }
  }

  /** Rosters that must each confirm by majority; empty if this entry VM cannot use majorities. */
  get rosters(): readonly (readonly EntryId[])[] {
    return this.#isConfirmed && this.#rosters.every(({ length }) => length > 0)
      ? this.#rosters
      : [];
  }

  async #check(): Promise<void> {
    const report = this.#createReport();
    if (report === undefined) return;
    const isReported = this.#isLastWriteStored &&
      isSame(report, this.#storedReport);
    const succeeded = isReported
      ? this.#isRosterConfirmed || await this.#confirmRoster(report)
      : await this.#write(report);
    if (!succeeded) await pause(RETRY_DELAY_MS);
  }

  get #isRosterConfirmed(): boolean {
    return this.#isConfirmed && this.#rosters.length === 1;
  }

  /**
   * Reads the head after the roster was stored. Until then, earlier rosters still count: a
   * revision accepted before the roster was stored may be held by none of its members.
   */
  async #confirmRoster({ roster }: HolderReport): Promise<boolean> {
    if (!await this.#deps.headFollower.refresh("confirm", 0)) return false;
    this.#rosters = [roster];
    this.#isConfirmed = true;
    return true;
  }

  /** Returns the current report; undefined if this entry VM need not report. */
  #createReport(): HolderReport | undefined {
    const { memberTable, relayRole, configurationStore, vmViewHolder } =
      this.#deps;
    const { self } = memberTable;
    const entry = self.id;
    if (!relayRole.isRelay) {
      if (this.#storedReport === undefined) return undefined;
      return { ...this.#storedReport, roster: [], held: [] };
    }
    const relays = new Set(relayRole.relaysByPreference().map(({ id }) => id));
    const followers = memberTable.others().filter((member) =>
      member.data_centre === self.data_centre && !relays.has(member.id)
    );
    const { revision } = configurationStore;
    const listed = this.#storedReport?.listed === true ||
      vmViewHolder.current?.entries.includes(self.peers) === true;
    const heldByFollowers = followers.map((member) => ({
      entry: member.id,
      revision: member.revision,
    }));
    return {
      entry,
      roster: [entry, ...memberTable.expectedMembers().map(({ id }) => id)]
        .sort(),
      held: [{ entry, revision }, ...heldByFollowers.sort(byEntry)],
      listed,
    };
  }

  /** Writes the report; returns whether the platform acknowledged it. */
  async #write(report: HolderReport): Promise<boolean> {
    const { platform, entryMetrics } = this.#deps;
    const key = holderReportKey(report.entry);
    const expectedVersion = this.#version ?? await this.#readVersion(key);
    if (expectedVersion === undefined) return false;
    const isNewRoster = report.roster.join() !== this.#rosters.at(-1)?.join();
    if (isNewRoster) this.#rosters.push(report.roster);
    this.#isLastWriteStored = false;
    const answer = await platform.put(key, {
      value: JSON.stringify(report),
      expectedVersion,
    });
    const outcome = answer.ok ? "answered" : answer.error.tag;
    entryMetrics.platformCalls.inc({ kind: "report", outcome });
    this.#logTransition(answer.ok ? undefined : answer.error);
    this.#version = answer.ok ? answer.value : undefined;
    if (answer.ok) {
      this.#storedReport = report;
      this.#isLastWriteStored = true;
    } else if (isNewRoster && answer.error.tag !== "uncertain") {
      this.#rosters.pop();
    }
    return answer.ok;
  }

  async #readVersion(key: string): Promise<number | undefined> {
    const answer = await this.#deps.platform.get(key);
    if (answer.ok) return answer.value.version;
    if (answer.error.tag === "missing") return 0;
    this.#logTransition(answer.error);
    return undefined;
  }

  #logTransition(err: PlatformError | undefined): void {
    const failing = err !== undefined;
    if (failing === this.#failing) return;
    this.#failing = failing;
    const { logger, configurationStore } = this.#deps;
    const { revision } = configurationStore;
    if (failing) {
      logger.warn("Held revision could not be reported to the platform", {
        revision,
        reason: describePlatformError(err),
      });
    } else logger.info("Held revision is reported again", { revision });
  }
}

function isSame(a: HolderReport, b: HolderReport | undefined): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function byEntry(a: { entry: EntryId }, b: { entry: EntryId }): number {
  return a.entry < b.entry ? -1 : 1;
}
