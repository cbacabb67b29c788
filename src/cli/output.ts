/** Printing of results and problems on standard output and standard error. */

import process from "node:process";
import { type FileProblem, formatProblem } from "../files/file_problem.ts";

/** Prints a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints a line to standard error. */
export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Prints a value as JSON on one line. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value));
}

/** Prints problems as JSON on standard output, or one per line on standard error. */
export function printProblems(
  problems: readonly FileProblem[],
  { json }: { json: boolean },
): void {
  if (json) return printJson({ ok: false, problems });
  for (const problem of problems) printError(formatProblem(problem));
  printError(
    `${problems.length} problem(s); fix them and run the command again`,
  );
}

/** Prints rows as a table with aligned columns; the first row sets the number of columns. */
export function printTable(rows: readonly (readonly string[])[]): void {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  for (const row of rows) {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    printLine(cells.join("  ").trimEnd());
  }
}
