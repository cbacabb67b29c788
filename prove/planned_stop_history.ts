/** What callers saw while entries were replaced and a backend server left. */

/** A request and how it ended. */
export interface CallEvent {
  readonly what: "chat" | "stream" | "service";
  readonly entry: string;
  readonly invokedMs: number;
  /** Undefined when the answer was whole. */
  readonly problem: string | undefined;
}

/** Work that a backend server got. */
export interface ServerWork {
  readonly server: string;
  readonly atMs: number;
}

/** Events of one run. */
export interface PlannedStopHistory {
  readonly calls: CallEvent[];
  readonly work: ServerWork[];
  /** Backend server that was listed as leaving, and when. */
  leaving: { readonly server: string; readonly atMs: number } | undefined;
}

/** Seconds after which a leaving server gets no new work: the list's lag and two relayed looks. */
export const LEFT_WITHIN_MS = 6_000;

/** Returns a line for each contradiction. */
export function checkPlannedStop(
  { calls, work, leaving }: PlannedStopHistory,
): string[] {
  const cut = calls.flatMap(({ what, entry, problem }) =>
    problem === undefined
      ? []
      : [`A ${what} by way of ${entry} was not whole: ${problem}`]
  );
  if (leaving === undefined) {
    return [...cut, "No backend server left; the run proves nothing"];
  }
  const late = work.filter(({ server, atMs }) =>
    server === leaving.server && atMs > leaving.atMs + LEFT_WITHIN_MS
  );
  return [
    ...cut,
    ...late.map(({ server }) => `${server} got new work though it leaves`),
  ];
}
