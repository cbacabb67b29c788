/**
 * Entry point of the `fieldrack` program. `fieldrack gateway` without arguments loads only the
 * gateway, for a fast start on VMs that restart often.
 */

import process from "node:process";

const [, , command, ...rest] = process.argv;

if (command === "gateway" && rest.length === 0) {
  void import("./gateway_command.ts").then(({ runGateway }) => runGateway());
} else {
  void import("./commands.ts");
}
