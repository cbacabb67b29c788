/** Reads a history and tells where it contradicts what is promised of configurations. */

import type {
  AppliedEvent,
  ConfigurationHistory,
} from "./configuration_history.ts";

/** Within this long an accepted configuration must be in force everywhere. */
export const IN_FORCE_WITHIN_MS = 9_000;

/** What a content declares. */
export interface Content {
  /** The one version that is not withdrawn. */
  readonly version: string;
  /** Whether the guarded model is allowed. */
  readonly guardedAllowed: boolean;
}

/** Returns a content by its number; neighbours differ in both respects at once. */
export function contentOf(content: number): Content {
  const even = content % 2 === 0;
  return { version: even ? "v1" : "v2", guardedAllowed: even };
}

/** Returns a line for each contradiction. */
export function checkConfigurationHistory(
  history: ConfigurationHistory,
): string[] {
  const applied = history.of("applied").sort((a, b) => a.revision - b.revision);
  return [
    ...checkAcceptances(applied),
    ...checkAnswers(history, applied),
    ...checkOrder(history),
    ...checkGuarded(history, applied),
    ...checkWork(history, applied),
  ];
}

function checkAcceptances(applied: readonly AppliedEvent[]): string[] {
  return applied.slice(1).flatMap((event, at) =>
    event.revision === applied[at]?.revision
      ? [`Revision ${event.revision} was accepted twice`]
      : []
  );
}

/** Each answer is by the whole of one revision, and by none that should be gone. */
function checkAnswers(
  history: ConfigurationHistory,
  applied: readonly AppliedEvent[],
): string[] {
  const byRevision = new Map(applied.map((event) => [event.revision, event]));
  return history.of("answered").flatMap((answer) => {
    const event = byRevision.get(answer.revision);
    const who = `${answer.entry} answered by revision ${answer.revision}`;
    if (event === undefined) return [`${who}, which nobody applied`];
    const { version } = contentOf(event.content);
    const problems: string[] = [];
    if (version !== answer.version) {
      problems.push(`${who}, but by version ${answer.version}`);
    }
    const newest = newestInForce(applied, answer.invokedMs);
    if (newest !== undefined && answer.revision < newest) {
      problems.push(`${who}, though ${newest} had to be in force`);
    }
    return problems;
  });
}

/** On one entry no later request is decided by an earlier revision. */
function checkOrder(history: ConfigurationHistory): string[] {
  const answers = history.of("answered").sort((a, b) =>
    a.invokedMs - b.invokedMs
  );
  const finished = [...answers].sort((a, b) => a.returnedMs - b.returnedMs);
  const highest = new Map<string, number>();
  const problems: string[] = [];
  let next = 0;
  for (const answer of answers) {
    while ((finished[next]?.returnedMs ?? Infinity) < answer.invokedMs) {
      const { entry, revision } = finished[next] as typeof answer;
      highest.set(entry, Math.max(highest.get(entry) ?? 0, revision));
      next += 1;
    }
    const seen = highest.get(answer.entry) ?? 0;
    if (answer.revision >= seen) continue;
    problems.push(
      `${answer.entry} went back from revision ${seen} to ${answer.revision}`,
    );
  }
  return problems;
}

/** What is forbidden long enough is refused everywhere. */
function checkGuarded(
  history: ConfigurationHistory,
  applied: readonly AppliedEvent[],
): string[] {
  return history.of("guarded").flatMap((event) => {
    if (!event.allowed) return [];
    const possible = contentsBetween(applied, event);
    if (possible.some((content) => contentOf(content).guardedAllowed)) {
      return [];
    }
    return [
      `${event.entry} served a model that its account may not use any more`,
    ];
  });
}

/** A version that is withdrawn long enough gets no work. */
function checkWork(
  history: ConfigurationHistory,
  applied: readonly AppliedEvent[],
): string[] {
  return history.of("work").flatMap(({ version, atMs }) => {
    const possible = contentsBetween(applied, {
      invokedMs: atMs,
      returnedMs: atMs,
    });
    if (possible.some((content) => contentOf(content).version === version)) {
      return [];
    }
    return [`Version ${version} got new work after it was withdrawn`];
  });
}

/** Contents by which a request of that time may have been decided. */
function contentsBetween(
  applied: readonly AppliedEvent[],
  { invokedMs, returnedMs }: { invokedMs: number; returnedMs: number },
): number[] {
  const newest = newestInForce(applied, invokedMs) ?? 0;
  return applied
    // An apply takes effect before its outcome is known: in an outage, by as long as that lasts.
    .filter((event) =>
      event.revision >= newest && event.invokedMs <= returnedMs
    )
    .map(({ content }) => content);
}

/** Latest revision that must be in force for a request invoked at that time. */
function newestInForce(
  applied: readonly AppliedEvent[],
  invokedMs: number,
): number | undefined {
  const due = applied.filter(({ atMs }) =>
    atMs + IN_FORCE_WITHIN_MS <= invokedMs
  );
  return due[due.length - 1]?.revision;
}
