/** The `fieldrack` program. Loads only what its command needs: VMs restart often. */

import process from "node:process";

const [, , command, ...rest] = process.argv;

if (command === "gateway" && rest.length === 0) {
  void import("./gateway_command.ts").then(({ runGateway }) => runGateway());
} else {
  void import("./commands.ts");
}
