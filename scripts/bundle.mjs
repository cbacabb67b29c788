// Bundles the program into one CommonJS file, the form that the single binary needs.
// The folder to write to may be named; it is dist by default.
import { build } from "esbuild";
import { readFileSync } from "node:fs";
import process from "node:process";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));

await build({
  entryPoints: ["src/cli/main.ts"],
  outfile: `${process.argv[2] ?? "dist"}/fieldrack.cjs`,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  sourcemap: "linked",
  logLevel: "warning",
  alias: { undici: "./scripts/undici_parts.cjs" },
  define: {
    FIELDRACK_VERSION: JSON.stringify(version),
    "import.meta.url": "importMetaUrl",
  },
  banner: {
    js:
      'const importMetaUrl = require("node:url").pathToFileURL(__filename).href;',
  },
});
