// Exports only those parts of undici that the program uses. The main module of undici also loads
// fetch, caches and WebSockets, which cost a small VM about 10 MB of memory and 0.1 s at start.
const Dispatcher = require(
  "../node_modules/undici/lib/dispatcher/dispatcher.js",
);
const Agent = require("../node_modules/undici/lib/dispatcher/agent.js");
const Client = require("../node_modules/undici/lib/dispatcher/client.js");
const Pool = require("../node_modules/undici/lib/dispatcher/pool.js");
const DecoratorHandler = require(
  "../node_modules/undici/lib/handler/decorator-handler.js",
);
const buildConnector = require("../node_modules/undici/lib/core/connect.js");
const apiRequest = require("../node_modules/undici/lib/api/api-request.js");

Dispatcher.prototype.request = apiRequest;

let sharedAgent;

/** Equivalent of `request` in undici. */
function request(url, { dispatcher, ...options } = {}) {
  dispatcher ??= sharedAgent ??= new Agent();
  const { origin, pathname, search } = new URL(url);
  const path = `${pathname}${search}`;
  const method = options.method ?? (options.body ? "PUT" : "GET");
  return dispatcher.request({ ...options, origin, path, method });
}

module.exports = {
  Agent,
  Client,
  DecoratorHandler,
  Dispatcher,
  Pool,
  buildConnector,
  request,
};
