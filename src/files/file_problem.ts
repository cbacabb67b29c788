/** Problems in files and how they are formatted. */

/** One problem and its position; line and column numbers start at 1. */
export interface FileProblem {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  /** Path of keys, such as `accounts[2].keys[0]`. */
  readonly key: string;
  readonly message: string;
}

/** Formats a problem as `file:line:column: key: message`. */
export function formatProblem(problem: FileProblem): string {
  const { file, line, column, key, message } = problem;
  return `${file}:${line}:${column}: ${key === "" ? "" : `${key}: `}${message}`;
}

/** Formats a path of keys, such as `accounts[2].keys[0]`. */
export function formatKey(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? String(part) : `${text}.${String(part)}`;
  }, "");
}
