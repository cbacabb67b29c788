/**
 * A part of a prompt crashes each server that begins to write an answer on it. Its route has no
 * StreamResumption, so that each request goes to one server, and affinity leads all requests with the
 * part to the same one.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BAD_PATH, playCrashes } from "../lib/crash_play.mjs";
import { play } from "../lib/play.mjs";

const BAD_PART = "bad1:60";

await play(
  dirname(fileURLToPath(import.meta.url)),
  (context) =>
    playCrashes(context, {
      route: { StreamResumption: false, MaxAttempts: 1 },
      hasFirstEvent: true,
      crashes: 5,
      // No two alike: path, body and last part differ.
      bad: (n) => ({
        path: `${BAD_PATH}/${n}`,
        body: `bad ${n}`,
        prompt: `a0f:280,${BAD_PART},e${n}:60`,
      }),
      // Some share the first part with the bad ones.
      sound: (n) => ({
        path: `/care/${n}`,
        body: `sound ${n}`,
        prompt: n % 3 === 0 ? `a0f:280,b${n}:60` : `a0${n % 8}:340,b${n}:60`,
      }),
    }),
);
