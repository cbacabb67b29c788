/** Whether this VM is shutting down, and which requests it may still send to servers. */

import type { Refusal } from "../core/refusal.ts";
import type { DeploymentBounds } from "../platform/vm_settings_wire.ts";
import type { Clock } from "../runtime/clock.ts";

/** Callers cannot know of the shutdown earlier than this after its start. */
const NOTICE_MS = 3_000;
/** Largest share of the grace period that is left to callers as notice. */
const MAX_NOTICE_SHARE = 0.5;
/** Time before the platform kills the process at which it exits by itself; covers slow VMs. */
const EXIT_MARGIN_MS = 250;
/** Time that the response to a request takes to leave the process after its time limit. */
const RESPONSE_MARGIN_MS = 100;

/** Records when the shutdown began; it cannot be undone. */
export class StopState {
  readonly #graceMs: number;
  readonly #clock: Clock;
  #sinceMs: number | undefined;

  constructor(
    { bounds, clock }: {
      bounds: Pick<DeploymentBounds, "stopGraceMs">;
      clock: Clock;
    },
  ) {
    this.#graceMs = bounds.stopGraceMs;
    this.#clock = clock;
  }

  /** Whether the shutdown has begun. */
  get stopping(): boolean {
    return this.#sinceMs !== undefined;
  }

  /** Milliseconds until the process exits, once the shutdown has begun. */
  exitInMs(): number {
    return this.#graceMs - EXIT_MARGIN_MS - this.#elapsedMs();
  }

  /** Begins the shutdown; further calls have no effect. */
  begin(): void {
    this.#sinceMs ??= this.#clock.monotonicMs();
  }

  /**
   * Returns a refusal if a request that may take another `leftMs` might outlast the process. It
   * applies to requests that no server may have run. Callers that cannot know of the shutdown yet
   * are served: few requests take as long as they may.
   */
  refusal(leftMs: number): Refusal | undefined {
    if (this.#sinceMs === undefined) return undefined;
    const noticeMs = Math.min(NOTICE_MS, MAX_NOTICE_SHARE * this.#graceMs);
    if (this.#elapsedMs() < noticeMs) return undefined;
    const isSafe = leftMs + RESPONSE_MARGIN_MS <= this.exitInMs();
    return isSafe ? undefined : { tag: "stopping" };
  }

  #elapsedMs(): number {
    const nowMs = this.#clock.monotonicMs();
    return nowMs - (this.#sinceMs ?? nowMs);
  }
}
