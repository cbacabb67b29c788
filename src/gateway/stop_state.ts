/** Whether this VM is stopping, and which requests it still takes. */

import type { Refusal } from "../core/refusal.ts";
import type { CallerHead } from "../platform/header_wire.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";

/**
 * Part of the grace after which streams are refused: what begins later may outlast the
 * process. Callers have heard by then that this VM is not to be used.
 */
const LAST_STREAM_SHARE = 0.33;
/** Part of the grace after which nothing new is taken. */
const LAST_SHARE = 0.85;

/** Set once, when the stop is asked for. */
export class StopState {
  readonly #bounds: DeploymentBounds;
  readonly #clock: Clock;
  #sinceMs: number | undefined;

  constructor({ bounds, clock }: { bounds: DeploymentBounds; clock: Clock }) {
    this.#bounds = bounds;
    this.#clock = clock;
  }

  /** Whether the stop has begun. */
  get stopping(): boolean {
    return this.#sinceMs !== undefined;
  }

  /** Milliseconds until the process is killed, once the stop has begun. */
  leftMs(): number {
    return this.#bounds.stopGraceMs - this.#goneMs();
  }

  /** Begins the stop. */
  begin(): void {
    this.#sinceMs ??= this.#clock.monotonicMs();
  }

  /** Says whether a new request is refused because it could not be finished. */
  refusal(head: CallerHead): Refusal | undefined {
    if (this.#sinceMs === undefined) return undefined;
    const share = this.#goneMs() / this.#bounds.stopGraceMs;
    const isStream = head.outputTokens > 0;
    if (share < (isStream ? LAST_STREAM_SHARE : LAST_SHARE)) return undefined;
    return { tag: "stopping" };
  }

  #goneMs(): number {
    return this.#clock.monotonicMs() -
      (this.#sinceMs ?? this.#clock.monotonicMs());
  }
}
