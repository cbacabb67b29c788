// Builds dist/fieldrack, a single executable application (SEA) of Node.js, from the bundle.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, writeFileSync } from "node:fs";
import process from "node:process";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const SEA_CONFIG_FILE = "dist/sea-config.json";
const BLOB_FILE = "dist/fieldrack.blob";
const BINARY_FILE = "dist/fieldrack";

writeFileSync(
  SEA_CONFIG_FILE,
  JSON.stringify({
    main: "dist/fieldrack.cjs",
    output: BLOB_FILE,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", SEA_CONFIG_FILE], {
  stdio: "inherit",
});
copyFileSync(process.execPath, BINARY_FILE);
chmodSync(BINARY_FILE, 0o755);
const { inject } = await import("postject");
const { readFileSync } = await import("node:fs");
await inject(BINARY_FILE, "NODE_SEA_BLOB", readFileSync(BLOB_FILE), {
  sentinelFuse: SEA_FUSE,
});
console.log(`Built ${BINARY_FILE}`);
