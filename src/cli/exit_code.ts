/** Exit codes of all commands. */

/** Part of the command line's contract; listed by `--help`. */
export const ExitCode = {
  Done: 0,
  /** Input was refused, or the command failed. */
  Failed: 1,
  Usage: 2,
  /** Another operator was faster. */
  Conflict: 3,
  /** It may or may not have taken effect. */
  Unknown: 4,
  /** Platform or entry could not be reached; nothing took effect. */
  Unreachable: 5,
} as const;
