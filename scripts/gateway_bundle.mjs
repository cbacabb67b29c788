// Bundles the gateway alone into the folder named, small and with V8's compiled code beside
// it. A VM that restarts then spends half of the processor time on its start: 0.49 s of
// 0.74 s on the machine where it was measured, of which Node.js itself takes 0.19 s.
import { spawnSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import process from "node:process";
import { build } from "esbuild";
import { bundleOptions } from "./bundle_options.mjs";

const folder = process.argv[2] ?? "target";

await build({
  ...bundleOptions,
  entryPoints: ["src/cli/gateway_main.ts"],
  outfile: `${folder}/gateway_program.cjs`,
  minify: true,
  sourcemap: true,
});
copyFileSync("scripts/gateway_loader.cjs", `${folder}/gateway.cjs`);

const { status } = spawnSync(
  "node_modules/.bin/tsx",
  ["scripts/gateway_warm_up.ts", folder],
  { stdio: ["ignore", "inherit", "inherit"] },
);
if (status !== 0) {
  // As when another process took a port of the warm-up; the program is whole without it.
  console.warn(
    `No code was compiled (exit ${status}); the gateway starts slower`,
  );
}
