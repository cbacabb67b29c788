/** Parsed YAML file that maps problems back to lines and columns. */

import { readFileSync } from "node:fs";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import type * as z from "zod";
import { fail, ok, type Result } from "../core/result.ts";
import { type FileProblem, formatKey } from "./file_problem.ts";

/** Limit on alias expansions; rejects files whose nested aliases would expand without bound. */
const MAX_ALIAS_EXPANSIONS = 100;

/** A parsed YAML file. */
export class YamlFile {
  readonly file: string;
  readonly #document: Document;
  readonly #lineCounter: LineCounter;

  private constructor(
    file: string,
    { document, lines }: { document: Document; lines: LineCounter },
  ) {
    this.file = file;
    this.#document = document;
    this.#lineCounter = lines;
  }

  /** Reads and parses a file; problems report it as `displayName`. */
  static read(
    path: string,
    displayName = path,
  ): Result<YamlFile, FileProblem[]> {
    let bytes: Uint8Array;
    try {
      bytes = readFileSync(path);
    } catch (err) {
      const reason = (err as NodeJS.ErrnoException).code ?? String(err);
      return fail([
        problemAtStart(displayName, `File cannot be read (${reason})`),
      ]);
    }
    try {
      const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
      return YamlFile.parse(text, displayName);
    } catch {
      return fail([problemAtStart(displayName, "File is not valid UTF-8")]);
    }
  }

  /** Parses a text; problems report it as `file`. */
  static parse(text: string, file: string): Result<YamlFile, FileProblem[]> {
    const lines = new LineCounter();
    const document = parseDocument(text, {
      lineCounter: lines,
      prettyErrors: false,
    });
    if (document.errors.length > 0) {
      return fail(document.errors.map((err) => {
        const { line, col } = lines.linePos(err.pos[0]);
        return { file, line, column: col, key: "", message: err.message };
      }));
    }
    return ok(new YamlFile(file, { document, lines }));
  }

  /** Content as plain JavaScript values; throws if there are too many alias expansions. */
  get content(): unknown {
    return this.#document.toJS({ maxAliasCount: MAX_ALIAS_EXPANSIONS });
  }

  /** Validates the content against a schema. */
  check<T>(schema: z.ZodType<T>): Result<T, FileProblem[]> {
    let content: unknown;
    try {
      content = this.content;
    } catch (err) {
      return fail([problemAtStart(this.file, (err as Error).message)]);
    }
    const parsed = schema.safeParse(content);
    if (parsed.success) return ok(parsed.data);
    return fail(parsed.error.issues.map((issue) => {
      const unknown = issue.code === "unrecognized_keys"
        ? issue.keys.slice(0, 1)
        : [];
      return this.problemAt([...issue.path, ...unknown], describeIssue(issue));
    }));
  }

  /** Returns a problem at the position of a path of keys, or of its nearest existing parent. */
  problemAt(path: readonly PropertyKey[], message: string): FileProblem {
    const { line, col } = this.#lineCounter.linePos(this.#offsetOf(path));
    return {
      file: this.file,
      line,
      column: col,
      key: formatKey(path),
      message,
    };
  }

  #offsetOf(path: readonly PropertyKey[]): number {
    for (let length = path.length; length >= 0; length--) {
      const node = this.#document.getIn(path.slice(0, length), true);
      if (isNode(node) && node.range) return node.range[0];
    }
    return 0;
  }
}

function describeIssue(
  { code, message }: { code?: string; message: string },
): string {
  const missing = code === "invalid_type" &&
    message.endsWith("received undefined");
  if (!missing) return message;
  return message.replace(
    /^Invalid input: expected (.+), received undefined$/,
    "Key is missing; expected $1",
  );
}

function problemAtStart(file: string, message: string): FileProblem {
  return { file, line: 1, column: 1, key: "", message };
}
