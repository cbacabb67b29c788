/** Checks the end of responses that neither a length nor chunks mark. */

import type { BackendAttemptOutcome } from "../backends/backend_attempt.ts";
import type { BackendConnectionPool } from "../backends/backend_connection_pool.ts";
import type { ServerExitCheck } from "../backends/server_exit_check.ts";
import type { ServerIncarnationCheck } from "../backends/server_incarnation_check.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import {
  isLaterIncarnation,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import { pause } from "../runtime/pause.ts";
import type { SuspensionDetector } from "../runtime/suspension_detector.ts";

/** Time within which all connections to a crashed server are known to have closed. */
const CLOSE_SPREAD_MS = 5;
const SERVER_EXITED = "server process ended";
const SERVER_UNCONFIRMED =
  "server process may have been replaced while this VM was suspended";
const PARTIAL_EVENT = "stream ended in the middle of an event";

interface Deps {
  readonly backendConnectionPool: Pick<BackendConnectionPool, "hasIdle">;
  readonly serverExitCheck: ServerExitCheck;
  readonly serverIncarnationCheck: Pick<ServerIncarnationCheck, "isSame">;
  readonly serverDirectory: Pick<ServerDirectory, "get">;
  readonly suspensionDetector: Pick<SuspensionDetector, "hasJustResumed">;
}

/** An outcome after its end was checked. */
export interface CheckedOutcome {
  readonly outcome: BackendAttemptOutcome;
  /** Whether the response is known to be complete. */
  readonly isComplete: boolean;
}

/**
 * Tells complete responses from those that a crash of their server has cut. Without a length or
 * chunks both end with the connection, so only the server's process tells them apart.
 */
export class ResponseEndCheck {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns the outcome of an attempt, as a failure if its response was cut. */
  async check(
    outcome: BackendAttemptOutcome,
    { server, isModelServer, hasPartialEvent }: {
      server: ServerRecord;
      isModelServer: boolean;
      /** Whether the bytes of a stream end inside an event. */
      hasPartialEvent: boolean;
    },
  ): Promise<CheckedOutcome> {
    if (outcome.tag !== "streamed" && outcome.tag !== "answered") {
      return { outcome, isComplete: false };
    }
    const isStream = outcome.tag === "streamed";
    if (isStream && hasPartialEvent) return cut(outcome, PARTIAL_EVENT);
    const isFramed = isStream ? outcome.framed : outcome.head.decoded.framed;
    if (isFramed) return { outcome, isComplete: true };
    const state = await this.#serverState(server, { isModelServer });
    if (state === "exited") return cut(outcome, SERVER_EXITED);
    if (state === "unconfirmed") return cut(outcome, SERVER_UNCONFIRMED);
    return { outcome, isComplete: state === "running" };
  }

  async #serverState(
    server: ServerRecord,
    { isModelServer }: { isModelServer: boolean },
  ): Promise<"running" | "exited" | "unconfirmed" | "unknown"> {
    const {
      backendConnectionPool,
      serverExitCheck,
      serverIncarnationCheck,
      serverDirectory,
      suspensionDetector,
    } = this.#deps;
    await pause(CLOSE_SPREAD_MS);
    const listed = serverDirectory.get(server.instance);
    if (listed !== undefined && isLaterIncarnation(listed, server)) {
      return "exited";
    }
    // While this process was suspended, another one may have taken the address of the server, so
    // that a connection proves nothing. Servers without a report cannot prove that they still run.
    if (suspensionDetector.hasJustResumed) {
      const isSame = isModelServer &&
        await serverIncarnationCheck.isSame(server);
      return isSame ? "running" : "unconfirmed";
    }
    // An idle connection that is still open saves a new one.
    if (backendConnectionPool.hasIdle(server.instance)) return "running";
    return await serverExitCheck.stateOf(server);
  }
}

function cut({ tag }: BackendAttemptOutcome, reason: string): CheckedOutcome {
  const outcome: BackendAttemptOutcome = {
    tag: tag === "streamed" ? "stream_broken" : "broken",
    reason,
  };
  return { outcome, isComplete: false };
}
