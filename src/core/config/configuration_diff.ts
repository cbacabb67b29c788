/** Difference between two configurations. */

import { type Configuration, type Section, SECTIONS } from "./configuration.ts";

/** An entry that differs. */
export interface Change {
  readonly section: Section;
  readonly id: string;
  readonly kind: "added" | "removed" | "changed";
}

/** Returns the entries that differ, ordered by section and id. */
export function diffConfigurations(
  from: Configuration,
  to: Configuration,
): Change[] {
  return SECTIONS.flatMap((section) => {
    const before = jsonById(from[section]);
    const after = jsonById(to[section]);
    const ids = [...new Set([...before.keys(), ...after.keys()])].sort();
    return ids.flatMap((id) => {
      const kind = changeKind(before.get(id), after.get(id));
      return kind === undefined ? [] : [{ section, id, kind }];
    });
  });
}

function changeKind(
  before: string | undefined,
  after: string | undefined,
): Change["kind"] | undefined {
  if (before === after) return undefined;
  if (before === undefined) return "added";
  return after === undefined ? "removed" : "changed";
}

function jsonById(
  entries: readonly { readonly id: string }[],
): Map<string, string> {
  return new Map(entries.map((entry) => [entry.id, JSON.stringify(entry)]));
}
