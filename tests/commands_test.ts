import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { after, before, describe, test } from "node:test";
import { runFieldrack } from "./fixtures/fieldrack_process.ts";
import { hashKey, TestFleet } from "./fixtures/test_fleet.ts";

const model = (stable: string) => ({
  accounts: [{ id: "a", keys: [hashKey("k")], models: ["m"] }],
  models: [{ id: "m", stable, versions: [{ id: "v1" }, { id: "v2" }] }],
});

describe("the commands of operators", () => {
  let fleet: TestFleet;

  before(async () => {
    fleet = await TestFleet.start({
      entries: [],
      backends: [{ id: "m-1", data_centre: "qc-hall", version: "m@v1" }],
      configuration: model("v1"),
    });
  });

  after(() => fleet.stop());

  function apply(...args: string[]) {
    return runFieldrack(
      "apply",
      fleet.directory + "/configuration",
      "--platform",
      fleet.platformUrl,
      ...args,
    );
  }

  test("should tell what applying would change, and apply nothing that is the same", async () => {
    const unchanged = await apply();
    assert.match(unchanged.stdout, /^Unchanged; revision 1 is in force/);
    const directory = fleet.writeConfiguration("other", model("v2"));
    const diff = await runFieldrack(
      "diff",
      directory,
      "--platform",
      fleet.platformUrl,
    );
    assert.equal(diff.stdout, "~ models m\n1 change(s) from revision 1\n");
  });

  test("should settle a lost answer and say that it was accepted", async () => {
    fleet.writeConfiguration("configuration", model("v2"));
    // The object's answer is lost first, then the head's.
    await fleet.setFaults("platform", { lose_write_answers: 2 });
    const { code, stdout } = await apply();
    assert.equal(code, 0);
    assert.equal(stdout, "Accepted as revision 2\n");
  });

  test("should say who was faster, and apply nothing", async () => {
    fleet.writeConfiguration("configuration", model("v1"));
    const { code, stderr } = await apply("--expect", "1");
    assert.equal(code, 3);
    assert.match(stderr, /based on revision 1, but revision 2 is in force/);
  });

  test("should accept one of two that race, and tell the other", async () => {
    const directories = ["v1", "v2"].map((stable) => {
      const cfg = {
        ...model(stable),
        cascades: [{ id: `c-${stable}`, steps: ["m"] }],
      };
      return fleet.writeConfiguration(`race-${stable}`, cfg);
    });
    const runs = await Promise.all(
      directories.map((directory) =>
        runFieldrack(
          "apply",
          directory,
          "--platform",
          fleet.platformUrl,
          "--expect",
          "2",
          "--json",
        )
      ),
    );
    const tags = runs.map(({ stdout }) => JSON.parse(stdout).tag).sort();
    assert.deepEqual(tags, ["accepted", "conflict"]);
  });

  test("should say that nothing was applied while the platform is away", async () => {
    await fleet.setFaults("platform", { down: true });
    const { code, stderr } = await apply("--timeout", "1");
    await fleet.setFaults("platform", {});
    assert.equal(code, 5);
    assert.match(stderr, /^Nothing was applied: Platform is unavailable/);
  });

  test("should say so when the outcome cannot be known, and settle it later", async () => {
    const cfg = { ...model("v1"), cascades: [{ id: "late", steps: ["m"] }] };
    fleet.writeConfiguration("configuration", cfg);
    await fleet.setFaults("platform", {
      lose_write_answers: 1,
      lose_head_answers: true,
    });
    const first = await apply("--timeout", "1", "--json");
    assert.equal(first.code, 4);
    await fleet.setFaults("platform", {});
    const settled = await apply(
      "--apply-id",
      JSON.parse(first.stdout).apply_id,
      "--json",
    );
    assert.equal(JSON.parse(settled.stdout).tag, "accepted");
  });

  test("should refuse a bad directory with file and line, as text and as JSON", async () => {
    const directory = fleet.writeConfiguration("bad", {
      accounts: [{ id: "a", keys: [] }],
    });
    const { code, stderr } = await runFieldrack("check", directory);
    assert.equal(code, 1);
    assert.match(stderr, /^all\.yaml:1:\d+: accounts\[0\]\.keys: /);
    const json = await runFieldrack("check", directory, "--json");
    assert.equal(JSON.parse(json.stdout).problems[0].file, "all.yaml");
  });

  test("should refuse bad settings with file, line, key and what is allowed", async () => {
    const path = join(fleet.directory, "settings.yaml");
    writeFileSync(
      path,
      "entry:\n  id: Big One\nlisten:\n  callers: localhost:80\nplatfrom: {}\n",
    );
    const { code, stderr } = await runFieldrack("entry", "-c", path);
    assert.equal(code, 1);
    assert.match(
      stderr,
      /settings\.yaml:2:7: entry\.id: Expected 1 to 63 of a-z/,
    );
    assert.match(
      stderr,
      /settings\.yaml:2:3: entry\.data_centre: Key is missing; expected string/,
    );
    assert.match(
      stderr,
      /settings\.yaml:4:12: listen\.callers: Expected an IP address and a port/,
    );
    assert.match(
      stderr,
      /settings\.yaml:5:11: platfrom: Unknown key "platfrom"; allowed are entry, listen, platform, peers/,
    );
  });

  test("should hash a key from standard input", () => {
    const hash = execFileSync(process.execPath, [
      "dist/fieldrack.cjs",
      "hash-key",
    ], { input: "k\n" });
    assert.equal(String(hash).trim(), hashKey("k"));
  });

  test("should answer wrong usage with help and exit code 2", async () => {
    const { code, stderr } = await runFieldrack("nonsense");
    assert.equal(code, 2);
    assert.match(stderr, /fieldrack check/);
  });
});
