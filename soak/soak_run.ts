/** One run of the soak: a fleet of processes, callers, faults by a seed, and checks. */

import process from "node:process";
import { pause } from "../src/runtime/pause.ts";
import { Draw } from "./draw.ts";
import { FaultInjector, type Fleet } from "./fault_injector.ts";
import {
  planBrokenAnswers,
  planCalmChanges,
  planEvacuation,
  planFaults,
  planLimits,
  type PlannedFault,
  planNotices,
  planPoison,
  planRestarts,
  planUnseenRemoval,
} from "./fault_plan.ts";
import { History } from "./history.ts";
import { checkPromises } from "./promise_checker.ts";
import { PoisonCaller } from "./poison_caller.ts";
import { RejectingService } from "./rejecting_service.ts";
import { SoakCaller } from "./soak_caller.ts";
import { SoakGateway } from "./soak_gateway.ts";
import { CONTACT_MS, type SoakSize } from "./soak_settings.ts";
import { SoakStore } from "./soak_store.ts";
import { shows, VersionWatch } from "./version_watch.ts";
import type { Violation } from "./violation.ts";

/** Longest wait for all gateways to serve, at the start and after the last fault. */
const SERVE_LIMIT_MS = 20_000;
const POLL_MS = 100;
/** Time in which callers' last requests end. */
const LAST_REQUESTS_MS = 7_000;
/** Numbers of loopback networks that follow each other. */
const NETWORKS = 250;

/** What came of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faults: readonly PlannedFault[];
  readonly violations: readonly Violation[];
}

/** Runs one seed. */
export async function runSeed(
  seed: number,
  { size, folder }: { size: SoakSize; folder: string },
): Promise<SoakResult> {
  const history = new History();
  const store = new SoakStore(history);
  const network = ownNetwork();
  const options = { folder, network, store: await store.listen() };
  const gateways = Array.from(
    { length: size.gateways },
    (_, at) => new SoakGateway(at, options),
  );
  const rejecting = new RejectingService();
  const fleet: Fleet = { history, store, gateways, servers: [], rejecting };
  try {
    const faults = await play(fleet, { seed, size });
    history.rejected = rejecting.history;
    const violations = [...checkPromises(history), ...unrecovered(fleet)];
    const answered = history.callers.filter(({ ending }) =>
      ending.tag === "answered" && ending.status === 200
    ).length;
    const requests = history.callers.length;
    return { seed, requests, answered, faults, violations };
  } finally {
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    for (const server of fleet.servers) server.close();
    await rejecting.close();
    await store.close();
  }
}

/** Loopback network of this process: gateways of two runs must not meet. */
function ownNetwork(): string {
  const { pid } = process;
  const high = 1 + Math.floor(pid / NETWORKS) % NETWORKS;
  return `127.${high}.${1 + pid % NETWORKS}`;
}

async function play(
  fleet: Fleet,
  { seed, size }: { seed: number; size: SoakSize },
): Promise<PlannedFault[]> {
  const { history, store, gateways, rejecting } = fleet;
  const draw = new Draw(seed);
  const plan = planFaults(draw, size);
  const injector = new FaultInjector(fleet);
  store.configure();
  for (let at = 0; at < size.servers; at++) await injector.startServer(at);
  await rejecting.start(store);
  for (const gateway of gateways) await gateway.prepare();
  const seeds = gateways.slice(0, 2).map(({ peers }) => peers);
  for (const gateway of gateways) await gateway.start(seeds);
  await untilAllServe(fleet);
  let stopped = false;
  const callers = Array.from(
    { length: size.callers },
    (_, at) =>
      new SoakCaller(`c${process.pid}-${seed}-${at}`, {
        history,
        gateways,
        draw: new Draw(seed + at + 1),
        keys: () => store.usedKeys,
      }),
  );
  const watch = new VersionWatch({ history, store, gateways });
  const working = [...callers, watch].map((one) => one.run(() => stopped));
  working.push(
    rejecting.run({ gateways, draw: new Draw(seed), stopped: () => stopped }),
  );
  await injector.run(plan);
  history.recovered = await untilAllServe(fleet);
  // Limits of time hold only for gateways in touch, which they hardly are before this.
  await pause(CONTACT_MS);
  await injector.run(planCalmChanges(draw, size));
  await injector.run(planBrokenAnswers(size));
  await injector.run(planNotices(size));
  await pause(CONTACT_MS);
  await injector.run(planLimits(size));
  await pause(CONTACT_MS);
  await injector.run(planUnseenRemoval());
  await pause(CONTACT_MS);
  await injector.run(planEvacuation());
  const poison = new PoisonCaller(`p${process.pid}-${seed}`, {
    history,
    gateways,
    draw: new Draw(seed),
    keys: () => store.usedKeys,
  });
  working.push(poison.run(() => stopped));
  await injector.run(planPoison(size));
  await pause(CONTACT_MS);
  await injector.run(planRestarts(size));
  stopped = true;
  await Promise.race([Promise.all(working), pause(LAST_REQUESTS_MS)]);
  await Promise.all(callers.map((caller) => caller.close()));
  return plan;
}

/** Waits until all gateways have the newest configuration; returns those that have. */
async function untilAllServe({ gateways, store }: Fleet) {
  const untilMs = Date.now() + SERVE_LIMIT_MS;
  for (;;) {
    const shown = await Promise.all(
      gateways.map((gateway) => shows(gateway, store.version)),
    );
    const serving = gateways.filter((_, at) => shown[at] === true);
    const all = serving.length === gateways.length;
    if (all || Date.now() > untilMs) return serving.map(({ name }) => name);
    await pause(POLL_MS);
  }
}

function unrecovered({ gateways, history }: Fleet): Violation[] {
  return gateways
    .filter(({ name }) => !history.recovered.includes(name))
    .map(({ name }) => ({
      promise: "recovery",
      what: `${name} did not serve ${SERVE_LIMIT_MS} ms after the last fault`,
    }));
}
