/**
 * Settings of the model engine.
 *
 * @module
 */

/** Settings of an engine. */
export interface EngineConfig {
  readonly name: string;
  /** 0 lets the system choose. */
  readonly port: number;
  readonly models: readonly string[];
  readonly role: string;
  readonly incarnation: number;
  readonly checksFencing: boolean;
  readonly loadMs: number;
  /** Sequences that run at once. */
  readonly maxBatch: number;
  /** Sequences that may wait. */
  readonly maxWaiting: number;
  readonly baseStepMs: number;
  readonly stepMsPerSequence: number;
  readonly prefillMsPerToken: number;
  readonly prefillTokensPerStep: number;
  /** Bound of the prefix cache. */
  readonly cacheTokens: number;
  readonly kvTotal: number;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  /** Share of cache events that are lost, 0 to 1. */
  readonly cacheEventLoss: number;
  /** Mean output length of a request that does not bound it. */
  readonly meanTokens: number;
  readonly seed: string;
}

/** Defaults of an engine's settings. */
export const ENGINE_DEFAULTS: EngineConfig = {
  name: "engine",
  port: 0,
  models: ["umber-small"],
  role: "mixed",
  incarnation: 1,
  checksFencing: true,
  loadMs: 500,
  maxBatch: 16,
  maxWaiting: 64,
  baseStepMs: 3,
  stepMsPerSequence: 0.1,
  prefillMsPerToken: 0.02,
  prefillTokensPerStep: 512,
  cacheTokens: 20_000,
  kvTotal: 100_000,
  loadLagMs: 500,
  cacheEventLagMs: 300,
  cacheEventLoss: 0.1,
  meanTokens: 120,
  seed: "engine",
};
