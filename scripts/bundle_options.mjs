// esbuild options shared by all bundles: one CommonJS file that targets Node.js 20.
import { readFileSync } from "node:fs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));

export const bundleOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
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
};
