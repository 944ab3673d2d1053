/**
 * A seeded mix of calls as a deployment's workspaces send them.
 *
 * @module
 */
import type { Caller } from "../client.ts";
import type { Deployment, Traffic } from "../process/deployment.ts";
import { seededRandom } from "../process/random.ts";
import type { Answer } from "./answer.ts";

/** One call of the mix. */
export interface MixedCall {
  readonly workspace: string;
  readonly traffic: Traffic;
  /** Output length of a chat call; 0 for a plain one. */
  readonly outputTokens: number;
  readonly streamed: boolean;
  /** Place in the mix; unique. */
  readonly number: number;
}

/** How a mix is drawn. */
export interface MixOptions {
  readonly calls: number;
  readonly seed: number;
  /** Factor on prompt and output lengths; 1 by default. */
  readonly scale?: number;
  /** Share of chat calls that are streamed; 0.75 by default. */
  readonly streamedShare?: number;
}

const DEFAULT_STREAMED_SHARE = 0.75;
const CHARACTERS_PER_TOKEN = 4;
const FILLER = "oak ";

/** Draws one of the items by its weight. */
function draw<T>(
  items: readonly T[],
  weight: (item: T) => number,
  options: { readonly random: () => number },
): T {
  const total = items.reduce((sum, item) => sum + weight(item), 0);
  let left = options.random() * total;
  for (const item of items) {
    left -= weight(item);
    if (left < 0) return item;
  }
  return items[items.length - 1] as T;
}

/** Draws the calls of a mix; the same seed gives the same calls. */
export function drawMix(
  deployment: Deployment,
  options: MixOptions,
): readonly MixedCall[] {
  const random = seededRandom(`mix/${options.seed}`);
  const scale = options.scale ?? 1;
  const streamedShare = options.streamedShare ?? DEFAULT_STREAMED_SHARE;
  return Array.from({ length: options.calls }, (_, number) => {
    const traffic = draw(deployment.traffic, ({ share }) => share, { random });
    const senders = deployment.senders.filter(({ defaultClass }) =>
      defaultClass === traffic.class
    );
    const sender = draw(senders, ({ size }) => size, { random });
    const mean = (traffic.outputTokens ?? 0) * scale;
    const outputTokens = mean === 0
      ? 0
      : Math.max(1, Math.round(mean * (0.5 + random())));
    const streamed = random() < streamedShare;
    const { workspace } = sender;
    return { workspace, traffic, outputTokens, streamed, number };
  });
}

/** Sends one call of a mix. */
export function sendMixed(
  caller: Caller,
  call: MixedCall,
  options: {
    readonly model: string;
    readonly scale?: number;
    /** Silence after which the caller gives up. */
    readonly idleMs?: number;
  },
): Promise<Answer> {
  const { traffic, workspace, number } = call;
  const common = {
    class: traffic.class,
    repeatable: traffic.repeatable,
    ...(options.idleMs === undefined ? {} : { idleMs: options.idleMs }),
    ...(traffic.repeatable ? {} : { idempotencyKey: `${workspace}-${number}` }),
  };
  if (traffic.outputTokens === undefined) {
    return caller.plain(`/services/${traffic.service}/cards/${number}`, {
      ...common,
      body: JSON.stringify({ card: number }),
    });
  }
  const promptTokens = (traffic.promptTokens ?? 0) * (options.scale ?? 1);
  return caller.chat(options.model, {
    ...common,
    // Most of a prompt is the workspace's long brief, which prompts share.
    system: `${workspace} ${traffic.class} `.padEnd(
      promptTokens * CHARACTERS_PER_TOKEN,
      FILLER,
    ),
    prompt: `Number ${number}, please`,
    streamed: call.streamed,
    testTokens: call.outputTokens,
  });
}
