/** Entry point that loads only the gateway, for a fast start on VMs that restart often. */

import { runGateway } from "./gateway_command.ts";

void runGateway();
