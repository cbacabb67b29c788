/** What the VMs have reported of one server crash under one request. */

import type { PartKey } from "../ids.ts";
import {
  type Crash,
  MAX_REPORT_SERVERS,
  mergeCrashes,
  type ServerCrash,
} from "./crash.ts";

/** A crash and the prompt parts that are still suspected of it. */
export class CrashReport {
  #crash: ServerCrash;
  readonly #parts = new Set<PartKey>();
  #isTruncated = false;

  constructor(crash: ServerCrash, parts: readonly PartKey[] = []) {
    this.#crash = { ...crash, after: crash.after.slice(-MAX_REPORT_SERVERS) };
    for (const part of parts) this.#parts.add(part);
  }

  /** The crash, as merged from all reports. */
  get crash(): ServerCrash {
    return this.#crash;
  }

  /** Parts that may have caused the crash. */
  get parts(): ReadonlySet<PartKey> {
    return this.#parts;
  }

  /** Whether further parts may have caused the crash that are not kept. */
  get isTruncated(): boolean {
    return this.#isTruncated;
  }

  /** Merges what another VM reports; returns whether that adds to the order of the crashes. */
  merge(crash: ServerCrash): boolean {
    const known = this.#crash.after.length;
    this.#crash = mergeCrashes(this.#crash, crash);
    return this.#crash.after.length > known;
  }

  /** Adds a suspected part; returns whether it is new. */
  addPart(part: PartKey): boolean {
    if (this.#parts.has(part)) return false;
    this.#parts.add(part);
    return true;
  }

  /** Removes a part that did not cause the crash. */
  clearPart(part: PartKey): void {
    this.#parts.delete(part);
  }

  /** Removes a part for want of memory. */
  dropPart(part: PartKey): void {
    this.#parts.delete(part);
    this.#isTruncated = true;
  }

  /** The report as it is sent to other VMs. */
  toCrash(): Crash {
    return { ...this.#crash, parts: [...this.#parts] };
  }
}
