/** One run of the soak test: gateway processes, servers, callers, seeded faults and checks. */

import process from "node:process";
import { pause } from "../src/runtime/pause.ts";
import { SeededRandom } from "./seeded_random.ts";
import { FaultInjector, type Fleet } from "./fault_injector.ts";
import {
  planAbortedResponses,
  planEvacuation,
  planFaultFreeChanges,
  planFaults,
  planKeyRemovalDuringOutage,
  planLimits,
  type PlannedFault,
  planPoison,
  planRestarts,
  planServerNotices,
  planServersCut,
} from "./fault_plan.ts";
import { History } from "./history.ts";
import { checkPromises } from "./promise_checker.ts";
import { planRestores } from "./restore_plan.ts";
import { CrashingCaller, type CrashingRequest } from "./crashing_caller.ts";
import { RejectingService } from "./rejecting_service.ts";
import { SoakCaller } from "./soak_caller.ts";
import { SoakGateway } from "./soak_gateway.ts";
import {
  BAD_PART,
  MAX_DISCONNECTED_MS,
  PARTS_HEADER,
  POISON_PATH,
  SHARED_PART,
  type SoakSize,
} from "./soak_settings.ts";
import { SoakStore } from "./soak_store.ts";
import { hasConfigurationVersion, VersionProber } from "./version_prober.ts";
import type { Violation } from "./violation.ts";

/** Maximum wait for all gateways to serve, at the start and after the last fault. */
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
/** Time for the last requests of callers to end. */
const REQUEST_DRAIN_MS = 7_000;
/** Loopback networks are numbered modulo this in each of two octets. */
const NETWORK_COUNT = 250;

/** Outcome of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faults: readonly PlannedFault[];
  readonly violations: readonly Violation[];
}

/** Plays one seed. */
export async function runSeed(
  seed: number,
  { size, folder }: { size: SoakSize; folder: string },
): Promise<SoakResult> {
  const history = new History();
  const store = new SoakStore(history);
  const network = loopbackNetwork();
  const options = { folder, network, store: await store.listen() };
  const gateways = Array.from(
    { length: size.gateways },
    (_, index) => new SoakGateway(index, options),
  );
  const rejecting = new RejectingService();
  const fleet: Fleet = { history, store, gateways, servers: [], rejecting };
  try {
    const faults = await runPlan(fleet, { seed, size });
    history.rejected = rejecting.history;
    const violations = [...checkPromises(history), ...checkRecovery(fleet)];
    const answered = history.requests.filter(({ ending }) =>
      ending.tag === "answered" && ending.status === 200
    ).length;
    const requests = history.requests.length;
    return { seed, requests, answered, faults, violations };
  } finally {
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    for (const server of fleet.servers) server.close();
    await rejecting.close();
    await store.close();
  }
}

/** Loopback network of this process; gateways of different runs must not reach each other. */
function loopbackNetwork(): string {
  const { pid } = process;
  const high = 1 + Math.floor(pid / NETWORK_COUNT) % NETWORK_COUNT;
  return `127.${high}.${1 + pid % NETWORK_COUNT}`;
}

async function runPlan(
  fleet: Fleet,
  { seed, size }: { seed: number; size: SoakSize },
): Promise<PlannedFault[]> {
  const { history, store, gateways, rejecting } = fleet;
  const random = new SeededRandom(seed);
  const plan = planFaults(random, size);
  const injector = new FaultInjector(fleet);
  store.configure();
  for (let at = 0; at < size.servers; at++) await injector.startServer(at);
  await rejecting.start(store);
  for (const gateway of gateways) await gateway.prepare();
  const seeds = gateways.slice(0, 2).map(({ peers }) => peers);
  for (const gateway of gateways) await gateway.start(seeds);
  await waitUntilAllServe(fleet);
  let stopped = false;
  const callers = Array.from(
    { length: size.callers },
    (_, index) =>
      new SoakCaller(`c${process.pid}-${seed}-${index}`, {
        history,
        gateways,
        random: new SeededRandom(seed + index + 1),
        keys: () => store.usedKeys,
      }),
  );
  const prober = new VersionProber({ history, store, gateways });
  const working = [...callers, prober].map((one) => one.run(() => stopped));
  working.push(
    rejecting.run({
      gateways,
      random: new SeededRandom(seed),
      stopped: () => stopped,
    }),
  );
  await injector.run(plan);
  history.recovered = await waitUntilAllServe(fleet);
  // Time bounds only hold for connected gateways, and until now gateways may be disconnected.
  await pause(MAX_DISCONNECTED_MS);
  const { phases } = size;
  if (phases.includes("changes")) await playChanges(injector, { random, size });
  if (phases.includes("outages")) await playOutages(injector, size);
  if (phases.includes("crashes")) {
    await injector.run(planRestores(random, size));
    history.recovered = await waitUntilAllServe(fleet);
    await playCrashes(injector, {
      fleet,
      seed,
      size,
      start: (caller) => working.push(caller.run(() => stopped)),
    });
  }
  stopped = true;
  await Promise.race([Promise.all(working), pause(REQUEST_DRAIN_MS)]);
  await Promise.all(callers.map((caller) => caller.close()));
  return plan;
}

async function playChanges(
  injector: FaultInjector,
  { random, size }: { random: SeededRandom; size: SoakSize },
): Promise<void> {
  await injector.run(planFaultFreeChanges(random, size));
  await injector.run(planAbortedResponses(size));
  await injector.run(planServerNotices(size));
  await pause(MAX_DISCONNECTED_MS);
  await injector.run(planLimits(size));
  await pause(MAX_DISCONNECTED_MS);
}

async function playOutages(
  injector: FaultInjector,
  size: SoakSize,
): Promise<void> {
  await injector.run(planServersCut(size));
  await pause(MAX_DISCONNECTED_MS);
  await injector.run(planKeyRemovalDuringOutage());
  await pause(MAX_DISCONNECTED_MS);
  await injector.run(planEvacuation());
}

async function playCrashes(
  injector: FaultInjector,
  { fleet: { history, store, gateways }, seed, size, start }: {
    fleet: Fleet;
    seed: number;
    size: SoakSize;
    /** Runs a caller until the end of the play. */
    start: (caller: CrashingCaller) => void;
  },
): Promise<void> {
  const options = {
    gateways,
    random: new SeededRandom(seed),
    keys: () => store.usedKeys,
  };
  start(
    new CrashingCaller(`p${process.pid}-${seed}`, {
      ...options,
      requestOf: () => ({ path: POISON_PATH, headers: {} }),
      records: history.poisonRequests,
    }),
  );
  await injector.run(planPoison(size));
  await pause(MAX_DISCONNECTED_MS);
  start(
    new CrashingCaller(`b${process.pid}-${seed}`, {
      ...options,
      requestOf: badPartRequest,
      records: history.badPartRequests,
    }),
  );
  await injector.run(planPoison(size));
  await pause(MAX_DISCONNECTED_MS);
  await injector.run(planRestarts(size));
}

function badPartRequest(attempt: string): CrashingRequest {
  const parts = `${SHARED_PART},${BAD_PART},${attempt}:10`;
  return { path: `/stream/${attempt}`, headers: { [PARTS_HEADER]: parts } };
}

/** Waits until all gateways have the latest configuration; returns the names of those that do. */
async function waitUntilAllServe({ gateways, store }: Fleet) {
  const untilMs = Date.now() + READY_TIMEOUT_MS;
  for (;;) {
    const hasLatest = await Promise.all(
      gateways.map((gateway) =>
        hasConfigurationVersion(gateway, store.version)
      ),
    );
    const serving = gateways.filter((_, index) => hasLatest[index] === true);
    const all = serving.length === gateways.length;
    if (all || Date.now() > untilMs) return serving.map(({ name }) => name);
    await pause(POLL_INTERVAL_MS);
  }
}

function checkRecovery({ gateways, history }: Fleet): Violation[] {
  return gateways
    .filter(({ name }) => !history.recovered.includes(name))
    .map(({ name }) => ({
      promise: "recovery",
      detail:
        `${name} did not serve within ${READY_TIMEOUT_MS} ms after the last fault`,
    }));
}
