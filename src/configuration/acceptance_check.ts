/** Checks whether a revision is held widely enough to survive a platform outage. */

import {
  HOLDER_REPORT_PREFIX,
  type HolderReport,
  reportsWithoutMajority,
} from "../core/config/holder_report.ts";
import type { Revision } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { Platform, PlatformError } from "../platform/platform.ts";
import { holderReportSchema } from "../protocol/stored_schema.ts";

/** Checks the reports of entry VMs. Create it only after the head with the revision is written. */
export class AcceptanceCheck {
  readonly #platform: Platform;
  readonly #revision: Revision;
  /** Keys of all reports, listed once: an entry VM that reports later reads the head after that. */
  #keys: readonly string[] | undefined;
  readonly #reports = new Map<string, HolderReport>();

  constructor(platform: Platform, revision: Revision) {
    this.#platform = platform;
    this.#revision = revision;
  }

  /** Returns the reports whose roster has no majority that holds the revision. */
  async reportsWithoutMajority(): Promise<
    Result<readonly HolderReport[], PlatformError>
  > {
    if (this.#keys === undefined) {
      const listed = await this.#platform.listKeys(HOLDER_REPORT_PREFIX);
      if (!listed.ok) return listed;
      this.#keys = listed.value;
    }
    const keysToRead = this.#keys.filter((key) => this.#needsRead(key));
    const read = await Promise.all(keysToRead.map((key) => this.#read(key)));
    const failed = read.find((result) => !result.ok);
    if (failed !== undefined && !failed.ok) return failed;
    const lagging = reportsWithoutMajority(
      [...this.#reports.values()],
      this.#revision,
    );
    return lagging.length === 0
      ? ok([])
      : await this.#withoutRemovedVms(lagging);
  }

  #needsRead(key: string): boolean {
    const report = this.#reports.get(key);
    return report === undefined ||
      report.held.some(({ revision }) => revision < this.#revision);
  }

  async #read(key: string): Promise<Result<undefined, PlatformError>> {
    const object = await this.#platform.get(key);
    if (!object.ok) return object;
    const report = parseReport(object.value.value);
    if (report === undefined) {
      return fail({
        tag: "uncertain",
        reason: `${key} has an unsupported format`,
      });
    }
    this.#reports.set(key, report);
    return ok(undefined);
  }

  /**
   * Drops reports of removed entry VMs: those that the platform used to list but no longer does.
   */
  async #withoutRemovedVms(
    reports: readonly HolderReport[],
  ): Promise<Result<readonly HolderReport[], PlatformError>> {
    const answer = await this.#platform.listVms({ etag: "" });
    if (!answer.ok) return answer;
    const vms = new Set<string>(answer.value.list?.vms.map(({ id }) => id));
    return ok(reports.filter(({ entry, listed }) => !listed || vms.has(entry)));
  }
}

function parseReport(text: string): HolderReport | undefined {
  try {
    return holderReportSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
