/** Lets what has arrived meanwhile be read before going on. */

/**
 * Resolves once the event loop has looked at all connections again. The first callback runs
 * in the turn that called this, the second after the next look.
 */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) =>
    setImmediate(() => setImmediate(() => resolve()))
  );
}
