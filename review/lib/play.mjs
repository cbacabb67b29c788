/** Frame of a case: a temporary folder, a record, a time limit and the verdict. */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { createGateways } from "./gateway.mjs";
import { call } from "./client.mjs";
import { startStore } from "./store.mjs";

export { pause };

const LIMIT_MS = 115_000;
const READY_MS = 15_000;
/** Longest time that the end of all processes is waited for. */
const CLOSE_MS = 3_000;

/** Whether the case plays with its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

/**
 * Plays a case; `run` returns what broke the rule, or undefined. Exits with 1 if it was broken, 0 if
 * it held and 2 if the case could not run.
 */
export async function play(folder, run) {
  const startedMs = performance.now();
  const lines = [];
  const atMs = () => Math.round(performance.now() - startedMs);
  const log = (text) => lines.push(`${String(atMs()).padStart(7)} ${text}`);
  const scratch = mkdtempSync(join(tmpdir(), "fieldrack-review-"));
  const closers = [];
  let code = 2;
  let isFinished = false;
  const finish = async (verdict) => {
    if (isFinished) return;
    isFinished = true;
    setTimeout(() => process.exit(code), CLOSE_MS).unref();
    log(verdict);
    console.log(verdict);
    writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    await Promise.all(closers.map((close) => close()));
    if (process.env.KEEP === undefined) rmSync(scratch, { recursive: true });
    else console.log(scratch);
    process.exit(code);
  };
  setTimeout(() => void finish("could not run: time limit"), LIMIT_MS).unref();
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => void finish("could not run: stopped"));
  }
  // A fault of the script itself is no verdict, and must not leave processes behind.
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.on(event, (err) => {
      if (!isFinished) code = 2;
      void finish(`could not run: ${err?.stack ?? err}`);
    });
  }
  try {
    const store = await startStore("127.0.0.1");
    closers.push(() => store.close());
    const context = {
      log,
      atMs,
      store,
      onEnd: (close) => closers.push(close),
      startGateways: async (count, options = {}) => {
        const gateways = await createGateways(count, {
          folder: scratch,
          store: store.address,
          log,
          ...options,
        });
        for (const gateway of gateways) {
          closers.push(() => gateway.stop());
          gateway.start();
        }
        await Promise.all(gateways.map((one) => untilReady(one)));
        log(`gateways are ready: ${gateways.map((g) => g.callers).join(", ")}`);
        return gateways;
      },
    };
    const broken = await run(context);
    code = broken === undefined ? 0 : 1;
    await finish(broken === undefined ? "rule held" : `rule broken: ${broken}`);
  } catch (err) {
    code = 2;
    await finish(`could not run: ${err.stack}`);
  }
}

/** Waits until the readiness address of a gateway answers 200. */
export async function untilReady({ readiness, name }) {
  const untilMs = performance.now() + READY_MS;
  while (performance.now() < untilMs) {
    const { status } = await call(readiness, {
      method: "GET",
      path: "/-/readyz",
      deadlineMs: 1_000,
      key: undefined,
    });
    if (status === 200) return;
    await pause(100);
  }
  throw new Error(`${name} is not ready`);
}
