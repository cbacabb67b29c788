/**
 * A streaming request crashes each server that begins to run it, before a byte of its answer has
 * left. Its client sends it again and again.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BAD_PATH, playCrashes } from "../lib/crash_play.mjs";
import { play } from "../lib/play.mjs";

await play(
  dirname(fileURLToPath(import.meta.url)),
  (context) =>
    playCrashes(context, {
      route: { StreamResumption: true, MaxAttempts: 3 },
      hasFirstEvent: false,
      crashes: 3,
      // The same path, caller and body each time.
      bad: () => ({
        path: BAD_PATH,
        body: "curled leaves",
        prompt: "a0f:340,c7d1:60",
      }),
      sound: (n) => ({
        path: `/care/${n}`,
        body: `sound ${n}`,
        prompt: `a0${n % 8}:340,b${n}:60`,
      }),
    }),
);
