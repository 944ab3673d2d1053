/**
 * HTTP servers whose connections are bounded in number and in what they hold.
 *
 * @module
 */
export { ConnectionPool } from "./connection_pool.ts";
export type { EvictionReason, PooledConnection } from "./connection_pool.ts";
export { createSerialServer } from "./serial_server.ts";
export type { SerialHandlers } from "./serial_server.ts";
export { acceptLimits, descriptorLimit } from "../process/connection_limits.ts";
export type { ConnectionLimits } from "../process/connection_limits.ts";
