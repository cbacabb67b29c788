/** Tests, proofs and soak seeds that fail because of a known fault, listed in KNOWN-RED.txt. */

import { existsSync, readFileSync } from "node:fs";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** An entry: what fails, its name, what was seen and the issue. Cases of `review` are not run by CI. */
const ENTRY = /^(test|prove|soak|review) ([^:]+): .+\(issue \d+\)$/;

/** Returns the lines of the list, each of which begins with `KIND NAME:`. */
export function readKnownRed(): string[] {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, "utf8").split("\n")
    .filter((line) => line.trim() !== "");
}

/** Returns the line that lists the given test, proof or soak seed, if there is one. */
export function knownRedLine(
  lines: readonly string[],
  { kind, name }: { kind: "test" | "prove" | "soak"; name: string },
): string | undefined {
  return lines.find((line) => line.startsWith(`${kind} ${name}:`));
}

/** Result of a test run after known faults were taken into account. */
export interface RunEvaluation {
  readonly ok: boolean;
  /** Lines of the list whose tests failed. */
  readonly passedOver: readonly string[];
}

/**
 * Evaluates a run by the exit code of its runner and the names of the failed tests. A run with
 * failures passes only if each failed test is listed, and each line of the list is one entry with
 * its issue, and no name is listed twice.
 */
export function evaluateRun(
  lines: readonly string[],
  { exitCode, failed }: { exitCode: number | null; failed: readonly string[] },
): RunEvaluation {
  const listedLines = failed.map((name) =>
    knownRedLine(lines, { kind: "test", name })
  );
  const passedOver = listedLines.filter((line) => line !== undefined);
  const onlyKnownFailures = failed.length > 0 &&
    passedOver.length === failed.length &&
    isWellFormed(lines);
  // The runner exits with 1 if tests failed; any other non-zero code means that the run itself failed.
  return {
    ok: exitCode === 0 || (exitCode === 1 && onlyKnownFailures),
    passedOver,
  };
}

function isWellFormed(lines: readonly string[]): boolean {
  const names = lines.map((line) => {
    const [, kind, name] = ENTRY.exec(line) ?? [];
    return kind === undefined ? undefined : `${kind} ${name}`;
  });
  return !names.includes(undefined) && new Set(names).size === lines.length;
}
