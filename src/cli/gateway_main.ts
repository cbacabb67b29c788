/** The gateway alone, for VMs that restart often: nothing else is loaded. */

import { runGateway } from "./gateway_command.ts";

void runGateway();
