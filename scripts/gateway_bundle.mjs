// Bundles the gateway alone, minified, into the folder given as argument, and writes V8's code cache
// next to it. This reduces the CPU time of a gateway start from 0.74 s to 0.49 s, of which Node.js
// itself takes 0.19 s.
import { spawnSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import process from "node:process";
import { build } from "esbuild";
import { bundleOptions } from "./bundle_options.mjs";

const outputFolder = process.argv[2] ?? "target";

await build({
  ...bundleOptions,
  entryPoints: ["src/cli/gateway_main.ts"],
  outfile: `${outputFolder}/gateway_program.cjs`,
  minify: true,
  sourcemap: true,
});
copyFileSync("scripts/gateway_loader.cjs", `${outputFolder}/gateway.cjs`);

const { status } = spawnSync(
  "node_modules/.bin/tsx",
  ["scripts/gateway_warm_up.ts", outputFolder],
  { stdio: ["ignore", "inherit", "inherit"] },
);
if (status !== 0) {
  // Happens, for example, if another process took a port of the warm-up. The gateway works without the cache.
  console.warn(
    `Code cache was not written (warm-up exited with ${status}); the gateway will start more slowly`,
  );
}
