import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { test } from "node:test";
import { Caller } from "./fixtures/caller.ts";
import { until } from "./fixtures/test_fleet.ts";

test("should run both examples on loopback and exit cleanly on Ctrl-C", async () => {
  const child = spawn(process.execPath, ["dist/fieldrack.cjs", "demo"]);
  const exited = once(child, "exit");
  let output = "";
  child.stdout.on("data", (data) => output += String(data));
  try {
    await until(() => Promise.resolve(output.includes("Ctrl-C")));
    const calls = [
      ...output.matchAll(
        /curl http:\/\/(\S+)\/v1.*\n.*Bearer (\S+)'.*\n.*-d '(.*)'/g,
      ),
    ];
    assert.equal(calls.length, 2);
    for (const [, address = "", key = "", body = ""] of calls) {
      const answer = await new Caller(address, key).call(
        "/v1/chat/completions",
        {
          method: "POST",
          body: JSON.parse(body),
        },
      );
      assert.equal(answer.status, 200);
    }
  } finally {
    child.kill("SIGINT");
  }
  assert.deepEqual(await exited, [0, null]);
});
