/** What changes from one configuration to another. */

import { type Configuration, type Section, SECTIONS } from "./configuration.ts";

/** One entry that differs. */
export interface Change {
  readonly section: Section;
  readonly id: string;
  readonly kind: "added" | "removed" | "changed";
}

/** Returns the entries that differ, in the order of sections and ids. */
export function diffConfigurations(
  from: Configuration,
  to: Configuration,
): Change[] {
  return SECTIONS.flatMap((section) => {
    const before = textsById(from[section]);
    const after = textsById(to[section]);
    const ids = [...new Set([...before.keys(), ...after.keys()])].sort();
    return ids.flatMap((id) => {
      const kind = kindOf(before.get(id), after.get(id));
      return kind === undefined ? [] : [{ section, id, kind }];
    });
  });
}

function kindOf(
  before: string | undefined,
  after: string | undefined,
): Change["kind"] | undefined {
  if (before === after) return undefined;
  if (before === undefined) return "added";
  return after === undefined ? "removed" : "changed";
}

function textsById(
  entries: readonly { readonly id: string }[],
): Map<string, string> {
  return new Map(entries.map((entry) => [entry.id, JSON.stringify(entry)]));
}
