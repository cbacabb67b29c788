import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { after, before, describe, test } from "node:test";
import { runFieldrack } from "./fixtures/fieldrack_process.ts";
import { hashKey, TestFleet } from "./fixtures/test_fleet.ts";

const configurationWithStable = (stable: string) => ({
  accounts: [{ id: "a", keys: [hashKey("k")], models: ["m"] }],
  models: [{ id: "m", stable, versions: [{ id: "v1" }, { id: "v2" }] }],
});

describe("operator commands", () => {
  let fleet: TestFleet;

  before(async () => {
    fleet = await TestFleet.start({
      entries: [],
      backends: [{ id: "m-1", data_centre: "qc-hall", version: "m@v1" }],
      configuration: configurationWithStable("v1"),
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

  test("should show what apply would change, and not apply an unchanged configuration", async () => {
    const unchanged = await apply();
    assert.match(unchanged.stdout, /^Unchanged; revision 1 is in force/);
    const directory = fleet.writeConfiguration(
      "other",
      configurationWithStable("v2"),
    );
    const diff = await runFieldrack(
      "diff",
      directory,
      "--platform",
      fleet.platformUrl,
    );
    assert.equal(diff.stdout, "~ models m\n1 change(s) from revision 1\n");
  });

  test("should resolve a lost response and report the revision as accepted", async () => {
    fleet.writeConfiguration("configuration", configurationWithStable("v2"));
    // First the response to the object write is lost, then the one to the head write.
    await fleet.setFaults("platform", { lose_write_answers: 2 });
    const { code, stdout } = await apply();
    assert.equal(code, 0);
    assert.equal(stdout, "Accepted as revision 2\n");
  });

  test("should report the newer revision on a conflict, and apply nothing", async () => {
    fleet.writeConfiguration("configuration", configurationWithStable("v1"));
    const { code, stderr } = await apply("--expect", "1");
    assert.equal(code, 3);
    assert.match(stderr, /based on revision 1, but revision 2 is in force/);
  });

  test("should accept one of two concurrent applies, and report a conflict to the other", async () => {
    const directories = ["v1", "v2"].map((stable) => {
      const cfg = {
        ...configurationWithStable(stable),
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

  test("should report that nothing was applied while the platform is down", async () => {
    await fleet.setFaults("platform", { down: true });
    const { code, stderr } = await apply("--timeout", "1");
    await fleet.setFaults("platform", {});
    assert.equal(code, 5);
    assert.match(stderr, /^Nothing was applied: Platform is unavailable/);
  });

  test("should report an unknown outcome, and resolve it later by the apply ID", async () => {
    const cfg = {
      ...configurationWithStable("v1"),
      cascades: [{ id: "late", steps: ["m"] }],
    };
    fleet.writeConfiguration("configuration", cfg);
    await fleet.setFaults("platform", {
      lose_write_answers: 1,
      lose_head_answers: true,
    });
    // A starved process may take seconds to write; nothing would have been applied by then.
    const first = await apply("--timeout", "10", "--json");
    assert.equal(first.code, 4);
    await fleet.setFaults("platform", {});
    const settled = await apply(
      "--apply-id",
      JSON.parse(first.stdout).apply_id,
      "--json",
    );
    assert.equal(JSON.parse(settled.stdout).tag, "accepted");
  });

  test("should refuse an invalid directory with file and line, as text and as JSON", async () => {
    const directory = fleet.writeConfiguration("bad", {
      accounts: [{ id: "a", keys: [] }],
    });
    const { code, stderr } = await runFieldrack("check", directory);
    assert.equal(code, 1);
    assert.match(stderr, /^all\.yaml:1:\d+: accounts\[0\]\.keys: /);
    const json = await runFieldrack("check", directory, "--json");
    assert.equal(JSON.parse(json.stdout).problems[0].file, "all.yaml");
  });

  test("should refuse invalid settings with file, line, key and allowed values", async () => {
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

  test("should answer incorrect usage with help and exit code 2", async () => {
    const { code, stderr } = await runFieldrack("nonsense");
    assert.equal(code, 2);
    assert.match(stderr, /fieldrack check/);
  });
});
