import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, test } from "node:test";
import { readConfigurationDirectory } from "./configuration_directory.ts";
import { formatProblem } from "./file_problem.ts";

const KEY = "0".repeat(64);
const MODELS = "models: [{ id: m, stable: v1, versions: [{ id: v1 }] }]\n";

describe("a configuration directory", () => {
  let directory: string;
  beforeEach(() => directory = mkdtempSync(join(tmpdir(), "fieldrack-test-")));
  afterEach(() => rmSync(directory, { recursive: true }));

  function problemsOf(files: Record<string, string | Uint8Array>): string[] {
    for (const [name, text] of Object.entries(files)) {
      writeFileSync(join(directory, name), text);
    }
    const cfg = readConfigurationDirectory(directory);
    return cfg.ok ? [] : cfg.error.map(formatProblem);
  }

  test("should merge the sections of all files", () => {
    const accounts = `accounts: [{ id: a, keys: ["${KEY}"], models: [m] }]`;
    assert.deepEqual(
      problemsOf({ "a.yaml": accounts, "b.yml": MODELS, "empty.yaml": "" }),
      [],
    );
  });

  const cases: [string, string, RegExp][] = [
    [
      "an unknown key",
      "accounts:\n  - id: a\n    kees: []\n",
      /^a\.yaml:3:11: accounts\[0\]\.kees: Unknown key "kees"; allowed are id, keys/m,
    ],
    [
      "an unknown section",
      "acounts: []\n",
      /^a\.yaml:1:10: acounts: Unknown key "acounts"; allowed are accounts, models/,
    ],
    [
      "a wrong type",
      `models:\n  - id: m\n    stable: v1\n    versions: none\n`,
      /^a\.yaml:4:15: models\[0\]\.versions: .*expected array/,
    ],
    [
      "a value that is not allowed",
      `accounts: [{ id: a, keys: ["${KEY}"], priority: high }]`,
      /priority: .*"interactive"\|"standard"\|"batch"/,
    ],
    [
      "a key that is not a hash",
      "accounts: [{ id: a, keys: [secret] }]",
      /keys\[0\]: Expected 64 lower-case hex digits/,
    ],
    [
      "an id with invalid characters",
      "models: [{ id: Big One, stable: v1, versions: [{ id: v1 }] }]",
      /models\[0\]\.id: Expected 1 to 63 of a-z/,
    ],
    ["broken YAML", "accounts: [\n", /^a\.yaml:2:1: /],
    [
      "a reference to an unknown model",
      `${MODELS}accounts: [{ id: a, keys: ["${KEY}"], models: [n] }]`,
      /^a\.yaml:2:\d+: accounts\[0\]\.models\[0\]: No model or cascade is named "n"/,
    ],
    [
      "a duplicate id",
      `${
        MODELS.trimEnd().slice(0, -1)
      }, { id: m, stable: v1, versions: [{ id: v1 }] }]`,
      /models\[1\]\.id: Id "m" stands twice in models/,
    ],
    [
      "a key that two accounts share",
      `accounts:\n  - { id: a, keys: ["${KEY}"] }\n  - { id: b, keys: ["${KEY}"] }\n`,
      /^a\.yaml:3:.* Key is already used by account "a"/,
    ],
    [
      "a cascade that contains itself",
      "cascades:\n  - { id: a, steps: [b] }\n  - { id: b, steps: [a] }\n",
      /^a\.yaml:2:.*Cascade leads back to itself: a -> b -> a/,
    ],
    [
      "a roll-out to an unknown version",
      `${MODELS}roll_outs: [{ id: r, model: m, to: v9, percent: 5 }]`,
      /to: Model "m" has no version "v9"/,
    ],
    [
      "a backend server without versions or service",
      `backends: [{ id: b, data_centre: d, url: "http://127.0.0.1:1" }]`,
      /A backend server needs either versions or a service/,
    ],
  ];
  for (const [what, text, expected] of cases) {
    test(`should reject ${what} and report its position`, () => {
      const problems = problemsOf({ "a.yaml": text });
      assert.match(problems.join("\n"), expected);
    });
  }

  test("should reject invalid UTF-8, an entry over the platform's size limit, and an empty directory", () => {
    assert.match(problemsOf({})[0] ?? "", /Directory contains no YAML files/);
    assert.match(
      problemsOf({ "a.yaml": new Uint8Array([0xff, 0xfe]) })[0] ?? "",
      /not valid UTF-8/,
    );
    const keys = Array.from(
      { length: 16_000 },
      (_, at) => at.toString(16).padStart(64, "0"),
    );
    const huge = JSON.stringify({ accounts: [{ id: "a", keys }] });
    assert.match(
      problemsOf({ "a.yaml": huge })[0] ?? "",
      /which holds 1000000 bytes/,
    );
  });

  test("should report the problems of all files together", () => {
    const problems = problemsOf({ "a.yaml": "x: 1", "b.yaml": "y: 1" });
    assert.equal(problems.length, 2);
  });
});
