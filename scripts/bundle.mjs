// Bundles the program into one CommonJS file, the form that the single binary needs.
import { build } from "esbuild";
import { bundleOptions } from "./bundle_options.mjs";

await build({
  ...bundleOptions,
  entryPoints: ["src/cli/main.ts"],
  outfile: "dist/fieldrack.cjs",
  sourcemap: "linked",
});
