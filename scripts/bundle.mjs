// Bundles the program into one CommonJS file, the input format of single executable applications.
import { build } from "esbuild";
import { bundleOptions } from "./bundle_options.mjs";

await build({
  ...bundleOptions,
  entryPoints: ["src/cli/main.ts"],
  outfile: "dist/fieldrack.cjs",
  sourcemap: "linked",
});
