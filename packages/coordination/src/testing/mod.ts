/**
 * Test doubles of the interfaces of coordination.
 *
 * @module
 */
export { CuttingServer, ENDINGS } from "./cutting_server.ts";
export type { Ending } from "./cutting_server.ts";
export { FakeClock } from "./fake_clock.ts";
export { FakeMembership, memberNamed } from "./fake_membership.ts";
export { MemoryNetwork } from "./memory_network.ts";
export type { Delivery, DeliveryAction } from "./memory_network.ts";
export { MemoryStore } from "./memory_store.ts";
export type { FaultPlan, StoreCall, StoreFault } from "./memory_store.ts";
export { SettableHostList } from "./settable_host_list.ts";
