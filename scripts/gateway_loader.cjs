// Runs gateway_program.cjs with the code that V8 compiled when the program was built.
// With --write-code it runs the program until its standard input ends, and writes that
// code down.
const fs = require("node:fs");
const { createRequire } = require("node:module");
const path = require("node:path");
const vm = require("node:vm");

const file = path.join(__dirname, "gateway_program.cjs");
const codeFile = path.join(__dirname, "gateway_program.code");
const writes = process.argv.includes("--write-code");

const source = fs.readFileSync(file, "utf8");
const script = new vm.Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename: file, cachedData: writes ? undefined : readCode() },
);
if (script.cachedDataRejected) {
  process.stderr.write("Compiled code is of another Node.js; compiling anew\n");
}
if (writes) {
  // As when another build holds the port of the metrics; all else has started by then.
  process.on("unhandledRejection", (err) => {
    process.stderr.write(`Warm-up did not start fully: ${err.message}\n`);
  });
}
const loaded = { exports: {} };
script.runInThisContext()(
  loaded.exports,
  createRequire(file),
  loaded,
  file,
  __dirname,
);
if (writes) process.stdin.resume().on("end", writeCode);

function readCode() {
  try {
    return fs.readFileSync(codeFile);
  } catch (err) {
    // Without it the program only starts more slowly.
    process.stderr.write(`Compiled code is not used: ${err.message}\n`);
    return undefined;
  }
}

function writeCode() {
  fs.writeFileSync(codeFile, script.createCachedData());
  process.exit(0);
}
