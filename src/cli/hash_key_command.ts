/** `fieldrack hash-key`. */

import process from "node:process";
import { text } from "node:stream/consumers";
import type { CommandModule } from "yargs";
import { sha256 } from "../runtime/hashing.ts";
import { ExitCode } from "./exit_code.ts";
import { printError, printLine } from "./output.ts";

/** Hashes an API key from standard input, so that it stays out of shell histories. */
export const hashKeyCommand: CommandModule = {
  command: "hash-key",
  describe: "Read an API key from standard input and print its hash",
  builder: (args) =>
    args.example(
      'printf %s "$KEY" | $0 hash-key',
      "Hash for the keys of an account",
    ),
  handler: async () => {
    const key = (await text(process.stdin)).trim();
    if (/^\S+$/.test(key)) return printLine(sha256(key));
    printError(
      "Key is empty or holds white space; pipe one key to this command",
    );
    process.exitCode = ExitCode.Failed;
  },
};
