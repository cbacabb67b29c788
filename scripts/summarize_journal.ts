/** Prints mean and standard deviation of the days in the given journal entries, for each site. */

import { readFileSync } from "node:fs";
import process from "node:process";
import { type JournalEntry, readEntry, summarize } from "./journal_summary.ts";

function main(files: readonly string[]): void {
  if (files.length === 0) {
    console.error(
      "No journal entries given. Usage: npm run journal -- journal/FILE.json...",
    );
    process.exit(2);
  }
  const bySite = new Map<string, JournalEntry[]>();
  for (const file of files) {
    const entry = readEntryFile(file);
    if (entry.site === null) continue;
    bySite.set(entry.site, [...bySite.get(entry.site) ?? [], entry]);
  }
  for (const [site, entries] of bySite) {
    console.log(`${site}, ${entries.length} entries`);
    for (const line of summarize(entries)) console.log(`  ${line}`);
  }
}

function readEntryFile(file: string): JournalEntry {
  try {
    return readEntry(readFileSync(file, "utf8"));
  } catch (err) {
    console.error(
      `${file} is not a valid journal entry: ${(err as Error).message}`,
    );
    process.exit(1);
  }
}

main(process.argv.slice(2));
