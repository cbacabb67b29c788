// Bundles the program into one CommonJS file, the form that the single binary needs.
import { build } from "esbuild";
import { readFileSync } from "node:fs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));

await build({
  entryPoints: ["src/cli/main.ts"],
  outfile: "dist/fieldrack.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  sourcemap: "linked",
  logLevel: "warning",
  define: {
    FIELDRACK_VERSION: JSON.stringify(version),
    "import.meta.url": "importMetaUrl",
  },
  banner: {
    js:
      'const importMetaUrl = require("node:url").pathToFileURL(__filename).href;',
  },
});
