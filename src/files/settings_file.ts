/** Reads the settings file of an entry and the secret file that it refers to. */

import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { fail, ok, type Result } from "../core/result.ts";
import { type Settings, settingsSchema } from "../protocol/settings_schema.ts";
import type { FileProblem } from "./file_problem.ts";
import { YamlFile } from "./yaml_file.ts";

const MIN_SECRET_LENGTH = 16;

/** Settings together with the secret that entries share. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly peerSecret: string;
}

/**
 * Reads and validates the settings at `path`; a relative secret file is resolved against its
 * folder.
 */
export function readSettings(
  path: string,
): Result<LoadedSettings, FileProblem[]> {
  const yaml = YamlFile.read(path);
  if (!yaml.ok) return yaml;
  const settings = yaml.value.check<Settings>(settingsSchema);
  if (!settings.ok) return settings;
  const secret = readSecret(settings.value, path);
  if (secret.ok) {
    return ok({ settings: settings.value, peerSecret: secret.value });
  }
  return fail([yaml.value.problemAt(["peers", "secret_file"], secret.error)]);
}

function readSecret({ peers }: Settings, path: string): Result<string, string> {
  if (peers.secret !== undefined) return ok(peers.secret);
  if (peers.secret_file === undefined) {
    return fail(
      "No secret is configured; set secret_file (or secret, for tests)",
    );
  }
  const file = resolve(dirname(path), peers.secret_file);
  try {
    const secret = readFileSync(file, "utf8").trim();
    if (secret.length >= MIN_SECRET_LENGTH) return ok(secret);
    return fail(
      `Secret in ${file} has fewer than ${MIN_SECRET_LENGTH} characters`,
    );
  } catch (err) {
    return fail(
      `Secret file ${file} cannot be read (${
        (err as NodeJS.ErrnoException).code
      })`,
    );
  }
}
