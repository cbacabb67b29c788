/** Imported before roarr, which otherwise keeps quiet unless its user asks for logs. */

import process from "node:process";

process.env.ROARR_LOG = "true";
