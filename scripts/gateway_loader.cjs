// Runs gateway_program.cjs with the V8 code cache that was written at build time.
// With --write-code it runs the program without a cache until standard input ends, and then
// writes the cache.
const fs = require("node:fs");
const { createRequire } = require("node:module");
const path = require("node:path");
const vm = require("node:vm");

const programFile = path.join(__dirname, "gateway_program.cjs");
const codeCacheFile = path.join(__dirname, "gateway_program.code");
const writesCodeCache = process.argv.includes("--write-code");

const source = fs.readFileSync(programFile, "utf8");
const script = new vm.Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  {
    filename: programFile,
    cachedData: writesCodeCache ? undefined : readCodeCache(),
  },
);
if (script.cachedDataRejected) {
  process.stderr.write(
    "V8 rejected the code cache, which is of another Node.js version or other flags; compiling from source\n",
  );
}
if (writesCodeCache) {
  // Happens, for example, if another build uses the metrics port. All other parts have started by then.
  process.on("unhandledRejection", (err) => {
    process.stderr.write(
      `Gateway did not start completely during warm-up: ${err.message}\n`,
    );
  });
}
const programModule = { exports: {} };
script.runInThisContext()(
  programModule.exports,
  createRequire(programFile),
  programModule,
  programFile,
  __dirname,
);
if (writesCodeCache) process.stdin.resume().on("end", writeCodeCache);

function readCodeCache() {
  try {
    return fs.readFileSync(codeCacheFile);
  } catch (err) {
    // The code cache is optional: without it, the program only starts more slowly.
    process.stderr.write(
      `Cannot read the code cache; compiling from source: ${err.message}\n`,
    );
    return undefined;
  }
}

function writeCodeCache() {
  fs.writeFileSync(codeCacheFile, script.createCachedData());
  process.exit(0);
}
