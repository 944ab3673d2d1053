/**
 * Fakes of the interfaces of coordination, for tests.
 *
 * @module
 */
export { MemoryStore } from "./memory_store.ts";
export type { FaultPlan, StoreCall, StoreFault } from "./memory_store.ts";
