/**
 * Token counts that an engine reports with its answer.
 *
 * @module
 */

/** Tokens that an answer cost. */
export interface Usage {
  readonly promptTokens: number | undefined;
  readonly outputTokens: number | undefined;
}

const NO_USAGE: Usage = { promptTokens: undefined, outputTokens: undefined };
const DATA_LINE = /^data: ?/;

/** Usage in the last token event of a stream; parsed once for each stream. */
export function usageOfEvent(event: Buffer | undefined): Usage {
  if (event === undefined) return NO_USAGE;
  const value = parseJson(event.toString("utf8").replace(DATA_LINE, ""));
  return value === undefined ? NO_USAGE : usageOf(value);
}

/** Usage in an engine's whole answer, already parsed. */
export function usageOf(value: unknown): Usage {
  const usage = field(value, "usage");
  return {
    promptTokens: count(field(usage, "prompt_tokens")),
    outputTokens: count(field(usage, "completion_tokens")),
  };
}

/** Parses JSON; `undefined` when the text is not whole JSON. */
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
