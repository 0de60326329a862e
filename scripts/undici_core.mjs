/**
 * The two parts of undici that the gateway uses. Its index loads fetch, caches
 * and WebSocket as well, which a program that starts after a loss of power has
 * to compile first.
 *
 * @module
 */
import buildConnector from "../node_modules/undici/lib/core/connect.js";
import Pool from "../node_modules/undici/lib/dispatcher/pool.js";

export { buildConnector, Pool };
