/**
 * Parses the token counts that an engine reports in its response.
 *
 * @module
 */

/** Token counts of a response; undefined if the engine reported none. */
export interface Usage {
  readonly promptTokens: number | undefined;
  readonly outputTokens: number | undefined;
}

const NO_USAGE: Usage = { promptTokens: undefined, outputTokens: undefined };
const DATA_LINE = /^data: ?/;

/** Parses the usage in the last token event of a stream; runs once per stream. */
export function usageOfEvent(event: Buffer | undefined): Usage {
  if (event === undefined) return NO_USAGE;
  const value = parseJson(event.toString("utf8").replace(DATA_LINE, ""));
  return value === undefined ? NO_USAGE : usageOf(value);
}

/** Extracts the usage from an engine's parsed non-streamed response. */
export function usageOf(value: unknown): Usage {
  const usage = field(value, "usage");
  return {
    promptTokens: count(field(usage, "prompt_tokens")),
    outputTokens: count(field(usage, "completion_tokens")),
  };
}

/** Parses JSON; returns `undefined` when the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function field(value: unknown, name: string): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  return (value as Readonly<Record<string, unknown>>)[name];
}

function count(value: unknown): number | undefined {
  if (typeof value !== "number" || !Number.isFinite(value)) return undefined;
  return value < 0 ? undefined : value;
}
