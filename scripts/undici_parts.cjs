// The parts of undici that the program uses. Its main module loads fetch, caches and web
// sockets as well, which cost each small VM some 10 MB and a tenth of a second at start.
const Dispatcher = require(
  "../node_modules/undici/lib/dispatcher/dispatcher.js",
);
const Agent = require("../node_modules/undici/lib/dispatcher/agent.js");
const Client = require("../node_modules/undici/lib/dispatcher/client.js");
const buildConnector = require("../node_modules/undici/lib/core/connect.js");
const apiRequest = require("../node_modules/undici/lib/api/api-request.js");

Dispatcher.prototype.request = apiRequest;

let sharedAgent;

/** As undici's own `request`. */
function request(url, { dispatcher, ...options } = {}) {
  dispatcher ??= sharedAgent ??= new Agent();
  const { origin, pathname, search } = new URL(url);
  const path = `${pathname}${search}`;
  const method = options.method ?? (options.body ? "PUT" : "GET");
  return dispatcher.request({ ...options, origin, path, method });
}

module.exports = { Agent, Client, Dispatcher, buildConnector, request };
