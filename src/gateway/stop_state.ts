/** Whether this VM is shutting down, and which requests it still accepts. */

import type { Refusal } from "../core/refusal.ts";
import type { CallerHead } from "../platform/header_wire.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";

/**
 * Share of the grace period after which new streams are refused, as they may outlast the process.
 * By then callers have been notified not to use this VM.
 */
const STREAM_CUTOFF = 0.33;
/** Share of the grace period after which all new requests are refused. */
const REQUEST_CUTOFF = 0.85;

/** Records when the shutdown began; it cannot be undone. */
export class StopState {
  readonly #bounds: DeploymentBounds;
  readonly #clock: Clock;
  #sinceMs: number | undefined;

  constructor({ bounds, clock }: { bounds: DeploymentBounds; clock: Clock }) {
    this.#bounds = bounds;
    this.#clock = clock;
  }

  /** Whether the shutdown has begun. */
  get stopping(): boolean {
    return this.#sinceMs !== undefined;
  }

  /** Milliseconds until the platform kills the process, once the shutdown has begun. */
  graceLeftMs(): number {
    return this.#bounds.stopGraceMs - this.#elapsedMs();
  }

  /** Begins the shutdown; further calls have no effect. */
  begin(): void {
    this.#sinceMs ??= this.#clock.monotonicMs();
  }

  /** Returns a refusal if a new request might not finish before the process is killed. */
  refusal(head: CallerHead): Refusal | undefined {
    if (this.#sinceMs === undefined) return undefined;
    const share = this.#elapsedMs() / this.#bounds.stopGraceMs;
    const isStream = head.maxOutputTokens > 0;
    if (share < (isStream ? STREAM_CUTOFF : REQUEST_CUTOFF)) return undefined;
    return { tag: "stopping" };
  }

  #elapsedMs(): number {
    return this.#clock.monotonicMs() -
      (this.#sinceMs ?? this.#clock.monotonicMs());
  }
}
