/** Tells servers that have fallen silent under a try from those that are only slow. */

import type { ServerProbe } from "../backends/server_probe.ts";
import type { Route } from "../core/routes/route.ts";
import type { ServerDirectory } from "../core/servers/server_directory.ts";
import {
  isLaterLife,
  type ServerRecord,
} from "../core/servers/server_record.ts";
import {
  kindOf,
  type SilenceReason,
  type SilenceWatch,
} from "../core/servers/silence.ts";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import type { AttemptAcks } from "./attempt_acks.ts";
import type { ServerAdmission } from "./server_admission.ts";
import type { ServerNotices } from "./server_notices.ts";
import type { TryRecord } from "./try_record.ts";

interface Deps {
  readonly serverDirectory: ServerDirectory;
  readonly silenceWatch: SilenceWatch;
  readonly serverProbe: ServerProbe;
  readonly serverNotices: ServerNotices;
  readonly attemptAcks: Pick<AttemptAcks, "probed">;
  readonly serverAdmission: ServerAdmission;
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
  ): SilenceReason | undefined {
    const { silenceWatch, serverProbe, serverAdmission } = this.#deps;
    if (this.#hasRestarted(server)) return "server_restarted";
    const waiting = {
      instance: record.server,
      kind: kindOf(route.id, record.model),
      sentMs: record.startedMs,
      targetMs: route.targetMs,
      expectedMs: record.expectedMs,
      byteMs: record.byteMs,
      earliestProbeMs: hasEngine
        ? serverAdmission.earliestProbeMs(server)
        : undefined,
    };
    if (hasEngine && silenceWatch.isQuiet(waiting, nowMs)) {
      serverProbe.ask(
        server,
        (notice) => this.#probed(server, { notice, sentMs: nowMs }),
      );
    }
    return silenceWatch.judge(waiting, nowMs);
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
    return listed !== undefined && isLaterLife(listed, server);
  }
}
