/** Reports to the platform what entry VMs hold, and whom this one asks in an outage. */

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
import type { ConfigurationFollower } from "./configuration_follower.ts";

/** Time between looks whether there is something to report. */
const CHECK_INTERVAL_MS = 100;
/** Wait after a report that the platform did not take. */
const RETRY_MS = 500;
/** Attempts to withdraw the roster; an entry VM that stops doesn't wait for the platform. */
const WITHDRAW_ATTEMPTS = 2;

interface Deps {
  readonly platform: Platform;
  readonly configurationStore: ConfigurationStore;
  readonly configurationFollower: ConfigurationFollower;
  readonly memberTable: MemberTable;
  readonly relayRole: RelayRole;
  readonly vmViewHolder: VmViewHolder;
  readonly entryMetrics: EntryMetrics;
  readonly logger: Logger;
}

/** Relays report, for themselves and for the others of their data centre. */
export class HolderReporter {
  readonly #deps: Deps;
  readonly #task = new RepeatedTask({
    intervalMs: CHECK_INTERVAL_MS,
    run: () => this.#check(),
  });
  /** Version of the own report in the platform; undefined until it is known. */
  #version: number | undefined;
  /** Last report that the platform has taken. */
  #reported: HolderReport | undefined;
  /** Whether no later report may stand in the platform than the last that it has taken. */
  #inSync = false;
  /** The roster in force, and those that may have come to stand in the platform since. */
  #rosters: (readonly EntryId[])[] = [];
  /** Whether the head was read since the first of these rosters stands in the platform. */
  #inForce = false;
  #failing = false;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Starts to report. */
  start(): void {
    this.#task.start();
  }

  /** Stops to report. */
  stop(): void {
    this.#task.stop();
  }

  /** Withdraws the roster, as an entry VM that stops needs no majority any more. */
  async withdraw(): Promise<void> {
    const reported = this.#reported;
    if (reported === undefined) return;
    // A report that is still under way may come first, and be in the way of this one.
    for (let attempt = 0; attempt < WITHDRAW_ATTEMPTS; attempt++) {
      if (await this.#write({ ...reported, roster: [], held: [] })) return;
      await pause(RETRY_MS);
    }
  }

  /** Rosters of each of which a majority must confirm; none where this entry VM can't ask. */
  get rosters(): readonly (readonly EntryId[])[] {
    return this.#inForce && this.#rosters.every(({ length }) => length > 0)
      ? this.#rosters
      : [];
  }

  async #check(): Promise<void> {
    const report = this.#current();
    if (report === undefined) return;
    const isReported = this.#inSync && isSame(report, this.#reported);
    const isDone = isReported
      ? this.#isSettled || await this.#settle(report)
      : await this.#write(report);
    if (!isDone) await pause(RETRY_MS);
  }

  get #isSettled(): boolean {
    return this.#inForce && this.#rosters.length === 1;
  }

  /**
   * Reads the head: a revision that was accepted before the platform had the reported roster
   * may be held by none of it. Only then do earlier rosters count no more.
   */
  async #settle({ roster }: HolderReport): Promise<boolean> {
    if (!await this.#deps.configurationFollower.ask("confirm", 0)) return false;
    this.#rosters = [roster];
    this.#inForce = true;
    return true;
  }

  /** What there is to report; undefined where this entry VM need not report. */
  #current(): HolderReport | undefined {
    const { memberTable, relayRole, configurationStore, vmViewHolder } =
      this.#deps;
    const { self } = memberTable;
    const entry = self.id;
    if (!relayRole.isRelay) {
      if (this.#reported === undefined) return undefined;
      return { ...this.#reported, roster: [], held: [] };
    }
    const relays = new Set(relayRole.relaysByPreference().map(({ id }) => id));
    const followers = memberTable.others().filter((member) =>
      member.data_centre === self.data_centre && !relays.has(member.id)
    );
    const { revision } = configurationStore;
    const listed = this.#reported?.listed === true ||
      vmViewHolder.current?.entries.includes(self.peers) === true;
    const holdings = followers.map((member) => ({
      entry: member.id,
      revision: member.revision,
    }));
    return {
      entry,
      roster: [entry, ...memberTable.expectedMembers().map(({ id }) => id)]
        .sort(),
      held: [{ entry, revision }, ...holdings.sort(byEntry)],
      listed,
    };
  }

  /** Returns whether the platform took the report. */
  async #write(report: HolderReport): Promise<boolean> {
    const { platform, entryMetrics } = this.#deps;
    const key = holderReportKey(report.entry);
    const expectedVersion = this.#version ?? await this.#readVersion(key);
    if (expectedVersion === undefined) return false;
    const isNewRoster = report.roster.join() !== this.#rosters.at(-1)?.join();
    if (isNewRoster) this.#rosters.push(report.roster);
    this.#inSync = false;
    const answer = await platform.put(key, {
      value: JSON.stringify(report),
      expectedVersion,
    });
    const outcome = answer.ok ? "answered" : answer.error.tag;
    entryMetrics.platformCalls.inc({ kind: "report", outcome });
    this.#noteFailing(answer.ok ? undefined : answer.error);
    this.#version = answer.ok ? answer.value : undefined;
    if (answer.ok) {
      this.#reported = report;
      this.#inSync = true;
    } else if (isNewRoster && answer.error.tag !== "uncertain") {
      this.#rosters.pop();
    }
    return answer.ok;
  }

  async #readVersion(key: string): Promise<number | undefined> {
    const answer = await this.#deps.platform.get(key);
    if (answer.ok) return answer.value.version;
    if (answer.error.tag === "missing") return 0;
    this.#noteFailing(answer.error);
    return undefined;
  }

  #noteFailing(err: PlatformError | undefined): void {
    const failing = err !== undefined;
    if (failing === this.#failing) return;
    this.#failing = failing;
    const { logger, configurationStore } = this.#deps;
    const { revision } = configurationStore;
    if (failing) {
      logger.warn("Held revision can't be reported", {
        revision,
        reason: describePlatformError(err),
      });
    } else logger.info("Held revision is reported", { revision });
  }
}

function isSame(a: HolderReport, b: HolderReport | undefined): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function byEntry(a: { entry: EntryId }, b: { entry: EntryId }): number {
  return a.entry < b.entry ? -1 : 1;
}
