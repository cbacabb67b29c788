/** Tells why a server answered 421: another one listens at its address, or it does not serve the request. */

import type { ServerIncarnationCheck } from "../backends/server_incarnation_check.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import type { Clock } from "../runtime/clock.ts";

/** Time for which a server that was found at its address is not asked again. */
const CONFIRMED_MS = 1_000;

interface Deps {
  readonly serverIncarnationCheck: Pick<ServerIncarnationCheck, "isSame">;
  readonly clock: Clock;
}

/** Asks model servers; other servers answer 421 only in place of another one. */
export class MisdirectionCheck {
  readonly #deps: Deps;
  readonly #confirmedMs = new WeakMap<ServerRecord, number>();

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Whether the server itself answered, so that others of its service may be needed. */
  async isOwnResponse(
    server: ServerRecord,
    { isModelServer }: { isModelServer: boolean },
  ): Promise<boolean> {
    if (!isModelServer) return false;
    const { serverIncarnationCheck, clock } = this.#deps;
    const confirmedMs = this.#confirmedMs.get(server) ?? -Infinity;
    if (clock.monotonicMs() - confirmedMs < CONFIRMED_MS) return true;
    const isSame = await serverIncarnationCheck.isSame(server);
    if (isSame) this.#confirmedMs.set(server, clock.monotonicMs());
    return isSame;
  }
}
