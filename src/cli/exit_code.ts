/** Exit codes shared by all commands. */

/** Public interface of the command line; `--help` lists these values. */
export const ExitCode = {
  Done: 0,
  /** The input was rejected or the command failed. */
  Failed: 1,
  Usage: 2,
  /** Another operator applied a change first. */
  Conflict: 3,
  /** The change may or may not have taken effect. */
  Unknown: 4,
  /** The platform or an entry could not be reached; nothing took effect. */
  Unreachable: 5,
} as const;
