/** Events recorded while entries are replaced and a backend server leaves, and their check. */

/** A request and its outcome. */
export interface CallEvent {
  readonly kind: "chat" | "stream" | "service";
  readonly entry: string;
  readonly invokedMs: number;
  /** What was wrong with the response; undefined when it was complete. */
  readonly problem: string | undefined;
}

/** Work that a backend server received. */
export interface ServerWork {
  readonly server: string;
  readonly atMs: number;
}

/** Events of one run. */
export interface PlannedStopHistory {
  readonly calls: CallEvent[];
  readonly work: ServerWork[];
  /** Backend server that was listed as leaving, and the time of that change. */
  leaving: { readonly server: string; readonly atMs: number } | undefined;
}

/**
 * Time after which a leaving server must receive no new work: the delay of the VM list plus two
 * relayed polls.
 */
export const MAX_WORK_AFTER_LEAVING_MS = 6_000;

/** Returns one line for each violation. */
export function checkPlannedStop(
  { calls, work, leaving }: PlannedStopHistory,
): string[] {
  const interrupted = calls.flatMap(({ kind, entry, problem }) =>
    problem === undefined ? [] : [
      `A ${kind} request through ${entry} failed or was incomplete: ${problem}`,
    ]
  );
  if (leaving === undefined) {
    return [
      ...interrupted,
      "No backend server was marked as leaving; the run is inconclusive",
    ];
  }
  const lateWork = work.filter(({ server, atMs }) =>
    server === leaving.server && atMs > leaving.atMs + MAX_WORK_AFTER_LEAVING_MS
  );
  return [
    ...interrupted,
    ...lateWork.map(({ server }) =>
      `${server} received new work too long after it was marked as leaving`
    ),
  ];
}
