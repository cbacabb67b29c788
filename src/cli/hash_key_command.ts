/** The `fieldrack hash-key` command. */

import process from "node:process";
import { text } from "node:stream/consumers";
import type { CommandModule } from "yargs";
import { sha256 } from "../runtime/hashing.ts";
import { ExitCode } from "./exit_code.ts";
import { printError, printLine } from "./output.ts";

/** Hashes an API key read from standard input, which keeps the key out of the shell history. */
export const hashKeyCommand: CommandModule = {
  command: "hash-key",
  describe: "Read an API key from standard input and print its hash",
  builder: (args) =>
    args.example(
      'printf %s "$KEY" | $0 hash-key',
      "Print the hash for the keys list of an account",
    ),
  handler: async () => {
    const key = (await text(process.stdin)).trim();
    if (/^\S+$/.test(key)) return printLine(sha256(key));
    printError(
      "API key is empty or contains white space; pipe a single key to this command",
    );
    process.exitCode = ExitCode.Failed;
  },
};
