/** Enables roarr, which writes no logs by default. Must be imported before roarr. */

import process from "node:process";

process.env.ROARR_LOG = "true";
