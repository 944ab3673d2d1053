/**
 * A router for language-model traffic, independent of the platform it runs on.
 *
 * @module
 */
export type { DaemonRegistry } from "./process/daemon_registry.ts";
export { guarded } from "./process/guarded.ts";
export { stopOnUncaughtError } from "./process/uncaught_errors.ts";
export {
  describeError,
  EXIT_CONFIG,
  EXIT_SOFTWARE,
  ProcessEnd,
} from "./process/process_end.ts";
export { BufferedLog } from "./process/event_log.ts";
export type { EventLog, TextSink } from "./process/event_log.ts";
export { FeedError } from "./process/feed.ts";
export type { Changes, Feed, Listing } from "./process/feed.ts";
export type {
  LeaderRecord,
  LeaderStore,
  RecordWriteResult,
  StoredRecord,
} from "./process/leader_record.ts";
export type {
  CallOutcome,
  Fence,
  PlatformApi,
  PlatformCall,
} from "./process/platform_api.ts";
export type {
  RecordedEntry,
  StoredVersions,
  VersionRecord,
  VersionStore,
  VersionWriteResult,
} from "./process/version_record.ts";
export type { RunnerOrder } from "./process/runner_order.ts";
export type { UsageReport } from "./process/leader_record.ts";
export type { CachedParts, EngineCache } from "./process/cache_survey.ts";
export type { PromptPart } from "./process/prefix_index.ts";
export type { ReportedLoad } from "./process/runner_load.ts";
export type { StatedLimit } from "./process/runner_limits.ts";
export type {
  RunnerStatements,
  StatementListener,
} from "./process/runner_statements.ts";
export {
  counterOf,
  epochOf,
  isStoreCounter,
  isStoreEpoch,
  storeRevision,
} from "./process/store_revision.ts";
export type { Scaling } from "./process/scaling.ts";
export { runnerId } from "./process/runner.ts";
export type { Runner } from "./process/runner.ts";
export { quoteValue } from "./process/value_quote.ts";
export { SettingsFile } from "./process/settings_file.ts";
export { parseSettings } from "./process/settings.ts";
export type { RouterSettings, SettingFinding } from "./process/settings.ts";
export type {
  Dialect,
  RawHeaders,
  RequestHead,
  ResponseHead,
  RunnerRequestHead,
} from "./request/dialect.ts";
export { endToEndHeaders, headerOf } from "./request/headers.ts";
export { Router } from "./router.ts";
export type { Platform } from "./router.ts";
export type {
  CallerLimits,
  Configuration,
  Destination,
  Engine,
  Repetition,
  Route,
  Service,
  Workspace,
} from "./version/configuration.ts";
