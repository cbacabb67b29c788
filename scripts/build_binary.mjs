// Turns the bundle into one executable, dist/fieldrack, by Node's single executable applications.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, writeFileSync } from "node:fs";
import process from "node:process";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const CONFIG = "dist/sea-config.json";
const BLOB = "dist/fieldrack.blob";
const BINARY = "dist/fieldrack";

writeFileSync(
  CONFIG,
  JSON.stringify({
    main: "dist/fieldrack.cjs",
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", CONFIG], {
  stdio: "inherit",
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
const { inject } = await import("postject");
const { readFileSync } = await import("node:fs");
await inject(BINARY, "NODE_SEA_BLOB", readFileSync(BLOB), {
  sentinelFuse: SEA_FUSE,
});
console.log(`Built ${BINARY}`);
