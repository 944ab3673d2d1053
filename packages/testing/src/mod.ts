/**
 * Stand-ins, fault proxy and launcher for tests and development.
 *
 * @module
 */
export { startEngine } from "./engine.ts";
export type { EngineConfig } from "./process/engine_config.ts";
export { startPlainService } from "./plain_service.ts";
export type { PlainConfig } from "./plain_service.ts";
export { startPlatform } from "./platform.ts";
export type { Calls, PlatformConfig } from "./platform.ts";
export { startStandIn } from "./process/child.ts";
export type { Child, LoggedChild, StandInChild } from "./process/child.ts";
export {
  DEPLOYMENT_NAMES,
  digestKey,
  findDeployment,
  initialTable,
  keyOf,
} from "./process/deployment.ts";
export type {
  Deployment,
  DeploymentName,
  Sender,
  Traffic,
} from "./process/deployment.ts";
export { ClientCrowd } from "./process/client_crowd.ts";
export type { CrowdOptions } from "./process/client_crowd.ts";
export { openBody, repeated, requestHead } from "./process/crowd_shapes.ts";
export { openDescriptors, peakMemoryMb } from "./process/process_use.ts";
export { FaultProxy } from "./process/fault_proxy.ts";
export type { PartitionKind } from "./process/fault_proxy.ts";
export type { ProxyFault } from "./process/fault_proxy.ts";
export { freePort } from "./process/free_port.ts";
export type { Fault, FaultName } from "./process/faults.ts";
export type { ListedHost } from "./process/host_list.ts";
export type { StandIn } from "./process/http_server.ts";
export { startProxy } from "./proxy.ts";
export type { ProxyConfig } from "./proxy.ts";
export { fetchJson } from "./process/json_client.ts";
export type { JsonAnswer } from "./process/json_client.ts";
export { startStack } from "./process/launcher.ts";
export type {
  Stack,
  StackDaemon,
  StackOptions,
  StackRunner,
} from "./process/stack_handle.ts";
export type { LedgerEntry, RunEnd } from "./process/ledger.ts";
export type { OrderEntry } from "./process/orders.ts";
export { seededRandom } from "./process/random.ts";
export { countTokens, digestPrefix } from "./request/prompt.ts";
export { Caller } from "./client.ts";
export type {
  CallerOptions,
  CallOptions,
  ChatOptions,
  PlainOptions,
} from "./client.ts";
export type { Answer, Outcome, PlainEcho } from "./request/answer.ts";
export { drawMix, sendMixed } from "./request/mix.ts";
export type { MixedCall, MixOptions } from "./request/mix.ts";
export { mixFindings } from "./request/mix_findings.ts";
export type { MixResult } from "./request/mix_findings.ts";
