/** Checks a recorded history against the guarantees on configuration changes. */

import type {
  AppliedEvent,
  ConfigurationHistory,
} from "./configuration_history.ts";

/** Time within which an accepted configuration must be in effect on every entry. */
export const MAX_PROPAGATION_MS = 9_000;

/** What varies between the configurations that a run applies. */
export interface ConfigurationVariant {
  /** The only version that is not withdrawn. */
  readonly version: string;
  /** Whether the client account may use the model `guarded`. */
  readonly guardedAllowed: boolean;
}

/** Returns the variant with the given number. Consecutive variants differ in both fields. */
export function variantOf(variantNumber: number): ConfigurationVariant {
  const even = variantNumber % 2 === 0;
  return { version: even ? "v1" : "v2", guardedAllowed: even };
}

/** Returns one line for each violation. */
export function checkConfigurationHistory(
  history: ConfigurationHistory,
): string[] {
  const applied = history.eventsOfKind("applied").sort((a, b) =>
    a.revision - b.revision
  );
  return [
    ...checkUniqueRevisions(applied),
    ...checkResponses(history, applied),
    ...checkRevisionOrder(history),
    ...checkGuardedModel(history, applied),
    ...checkWork(history, applied),
  ];
}

function checkUniqueRevisions(applied: readonly AppliedEvent[]): string[] {
  return applied.slice(1).flatMap((event, index) =>
    event.revision === applied[index]?.revision
      ? [`Revision ${event.revision} was accepted twice`]
      : []
  );
}

/**
 * Checks that each response follows exactly one revision, and that this revision was not yet
 * required to be replaced.
 */
function checkResponses(
  history: ConfigurationHistory,
  applied: readonly AppliedEvent[],
): string[] {
  const byRevision = new Map(applied.map((event) => [event.revision, event]));
  return history.eventsOfKind("answered").flatMap((response) => {
    const event = byRevision.get(response.revision);
    const prefix =
      `${response.entry} responded according to revision ${response.revision}`;
    if (event === undefined) return [`${prefix}, which was never applied`];
    const { version } = variantOf(event.content);
    const problems: string[] = [];
    if (version !== response.version) {
      problems.push(`${prefix}, but with version ${response.version}`);
    }
    const newest = newestRequiredRevision(applied, response.invokedMs);
    if (newest !== undefined && response.revision < newest) {
      problems.push(
        `${prefix}, though revision ${newest} must have been in effect`,
      );
    }
    return problems;
  });
}

/** Checks that the revision which an entry uses never decreases between consecutive requests. */
function checkRevisionOrder(history: ConfigurationHistory): string[] {
  const responses = history.eventsOfKind("answered").sort((a, b) =>
    a.invokedMs - b.invokedMs
  );
  const byReturnTime = [...responses].sort((a, b) =>
    a.returnedMs - b.returnedMs
  );
  const highest = new Map<string, number>();
  const problems: string[] = [];
  let next = 0;
  for (const response of responses) {
    while ((byReturnTime[next]?.returnedMs ?? Infinity) < response.invokedMs) {
      const { entry, revision } = byReturnTime[next] as typeof response;
      highest.set(entry, Math.max(highest.get(entry) ?? 0, revision));
      next += 1;
    }
    const highestSeen = highest.get(response.entry) ?? 0;
    if (response.revision >= highestSeen) continue;
    problems.push(
      `${response.entry} reverted from revision ${highestSeen} to ${response.revision}`,
    );
  }
  return problems;
}

/** Checks that each entry refuses a model once its removal must be in effect. */
function checkGuardedModel(
  history: ConfigurationHistory,
  applied: readonly AppliedEvent[],
): string[] {
  return history.eventsOfKind("guarded").flatMap((event) => {
    if (!event.allowed) return [];
    const possible = possibleVariants(applied, event);
    if (
      possible.some((variantNumber) => variantOf(variantNumber).guardedAllowed)
    ) {
      return [];
    }
    return [
      `${event.entry} served a model that the client account is no longer allowed to use`,
    ];
  });
}

/** Checks that a version receives no work once its withdrawal must be in effect. */
function checkWork(
  history: ConfigurationHistory,
  applied: readonly AppliedEvent[],
): string[] {
  return history.eventsOfKind("work").flatMap(({ version, atMs }) => {
    const possible = possibleVariants(applied, {
      invokedMs: atMs,
      returnedMs: atMs,
    });
    if (
      possible.some((variantNumber) =>
        variantOf(variantNumber).version === version
      )
    ) {
      return [];
    }
    return [`Version ${version} received new work after it was withdrawn`];
  });
}

/** Returns the variants that may have been in effect while the request ran. */
function possibleVariants(
  applied: readonly AppliedEvent[],
  { invokedMs, returnedMs }: { invokedMs: number; returnedMs: number },
): number[] {
  const newest = newestRequiredRevision(applied, invokedMs) ?? 0;
  return applied
    // An apply can take effect before the operator learns its outcome. In an outage, the delay
    // between the two is as long as the outage.
    .filter((event) =>
      event.revision >= newest && event.invokedMs <= returnedMs
    )
    .map(({ content }) => content);
}

/** Returns the latest revision that must be in effect for a request sent at `invokedMs`. */
function newestRequiredRevision(
  applied: readonly AppliedEvent[],
  invokedMs: number,
): number | undefined {
  const required = applied.filter(({ atMs }) =>
    atMs + MAX_PROPAGATION_MS <= invokedMs
  );
  return required[required.length - 1]?.revision;
}
