/** Lets the event loop read received data before the caller continues. */

/**
 * Resolves once the event loop has polled all connections again. The first `setImmediate` callback
 * runs in the current iteration of the loop, the second one after the next poll.
 */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) =>
    setImmediate(() => setImmediate(() => resolve()))
  );
}
