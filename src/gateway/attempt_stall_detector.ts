/** Distinguishes attempts whose server has stalled from those whose server is only slow. */

import type { NoticeListener, ServerProbe } from "../backends/server_probe.ts";
import type { Route } from "../core/routes/route.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import {
  isLaterIncarnation,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import {
  requestKindOf,
  type ServerStallDetector,
  type StallReason,
} from "../core/servers/server_stall_detector.ts";
import type { AttemptAcks } from "./attempt_acks.ts";
import type { ServerAdmission } from "./server_admission.ts";
import type { ServerNoticeHandler } from "./server_notice_handler.ts";
import type { AttemptRecord } from "./attempt_record.ts";

interface Deps {
  readonly serverDirectory: ServerDirectory;
  readonly serverStallDetector: ServerStallDetector;
  readonly serverProbe: ServerProbe;
  readonly serverNoticeHandler: ServerNoticeHandler;
  readonly attemptAcks: Pick<AttemptAcks, "probeAnswered">;
  readonly serverAdmission: ServerAdmission;
}

/** An attempt that is waiting for bytes from its server. */
export interface PendingAttempt {
  readonly server: ServerRecord;
  readonly record: AttemptRecord;
  readonly route: Route;
  /** Whether the server is a model server; only those support probes. */
  readonly isModelServer: boolean;
}

/** Checks attempts for stalls, and probes model servers that have sent nothing for a while. */
export class AttemptStallDetector {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Returns why an attempt counts as stalled; undefined while it does not. */
  check(
    { server, record, route, isModelServer }: PendingAttempt,
    nowMs: number,
  ): StallReason | undefined {
    const { serverStallDetector, serverProbe, serverAdmission } = this.#deps;
    if (this.#hasRestarted(server)) return "server_restarted";
    const waiting = {
      instance: record.server,
      kind: requestKindOf(route.id, record.model),
      sentMs: record.startedMs,
      targetMs: route.targetMs,
      expectedMs: record.expectedMs,
      byteMs: record.lastByteMs,
      earliestProbeMs: isModelServer
        ? serverAdmission.earliestProbeMs(server)
        : undefined,
    };
    if (isModelServer && serverStallDetector.needsProbe(waiting, nowMs)) {
      serverProbe.ask(
        server,
        this.#probeListener(server, nowMs),
      );
    }
    return serverStallDetector.detectStall(waiting, nowMs);
  }

  /** Probes a model server, whose response acknowledges all attempts sent to it before. */
  requestAck(server: ServerRecord, nowMs: number): void {
    const { serverProbe, serverAdmission } = this.#deps;
    if ((serverAdmission.earliestProbeMs(server) ?? 0) > nowMs) return;
    serverProbe.ask(
      server,
      this.#probeListener(server, nowMs),
    );
  }

  /** Returns a listener for the response to a probe sent at `sentMs`. */
  #probeListener(server: ServerRecord, sentMs: number): NoticeListener {
    const { serverNoticeHandler, attemptAcks } = this.#deps;
    return (notice, { isReport }) => {
      serverNoticeHandler.handleNotice(server, notice);
      if (isReport) attemptAcks.probeAnswered(server, sentMs);
    };
  }

  #hasRestarted(server: ServerRecord): boolean {
    const listed = this.#deps.serverDirectory.get(server.instance);
    return listed !== undefined && isLaterIncarnation(listed, server);
  }
}
