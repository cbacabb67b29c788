/** Tells servers that have fallen silent under a try from those that are only slow. */

import type { ServerProbe } from "../backends/server_probe.ts";
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
import type { ServerNotice } from "../core/servers/server_notice.ts";
import type { AttemptAcks } from "./attempt_acks.ts";
import type { ServerGate } from "./server_gate.ts";
import type { ServerNotices } from "./server_notices.ts";
import type { TryRecord } from "./try_record.ts";

interface Deps {
  readonly serverDirectory: ServerDirectory;
  readonly serverStallDetector: ServerStallDetector;
  readonly serverProbe: ServerProbe;
  readonly serverNotices: ServerNotices;
  readonly attemptAcks: Pick<AttemptAcks, "probed">;
  readonly serverGate: ServerGate;
}

/** A try that waits for bytes of its server. */
export interface WaitingServer {
  readonly server: ServerRecord;
  readonly record: TryRecord;
  readonly route: Route;
  /** Whether it is a model server, which may be asked how it is doing. */
  readonly hasEngine: boolean;
}

/** Watches over tries, and has quiet model servers asked whether they still answer. */
export class TrySilence {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Says why a try should be given up as silent, if it should. */
  judge(
    { server, record, route, hasEngine }: WaitingServer,
    nowMs: number,
  ): StallReason | undefined {
    const { serverStallDetector, serverProbe, serverGate } = this.#deps;
    if (this.#hasRestarted(server)) return "server_restarted";
    const waiting = {
      instance: record.server,
      kind: requestKindOf(route.id, record.model),
      sentMs: record.startedMs,
      targetMs: route.targetMs,
      expectedMs: record.expectedMs,
      byteMs: record.byteMs,
      askableMs: hasEngine ? serverGate.askableMs(server) : undefined,
    };
    if (hasEngine && serverStallDetector.needsProbe(waiting, nowMs)) {
      serverProbe.ask(
        server,
        (notice) => this.#probed(server, { notice, sentMs: nowMs }),
      );
    }
    return serverStallDetector.detectStall(waiting, nowMs);
  }

  #probed(
    server: ServerRecord,
    { notice, sentMs }: { notice: ServerNotice; sentMs: number },
  ): void {
    const { serverNotices, attemptAcks } = this.#deps;
    serverNotices.heard(server, notice);
    attemptAcks.probed(server, sentMs);
  }

  #hasRestarted(server: ServerRecord): boolean {
    const listed = this.#deps.serverDirectory.get(server.instance);
    return listed !== undefined && isLaterIncarnation(listed, server);
  }
}
