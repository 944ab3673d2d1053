/**
 * A table of answers, a line for each class.
 *
 * @module
 */

/** What a report counts of an answer. */
export interface ReportedAnswer {
  readonly outcome: string;
  readonly tokens: number;
  readonly firstTokenMs?: number;
  readonly wholeMs: number;
}

interface Line {
  readonly class: string;
  readonly calls: string;
  readonly whole: string;
  readonly tokens: string;
  readonly firstP50: string;
  readonly firstP99: string;
  readonly wholeP50: string;
}

const HEAD: Line = {
  class: "class",
  calls: "calls",
  whole: "whole",
  tokens: "tokens",
  firstP50: "first p50 ms",
  firstP99: "first p99 ms",
  wholeP50: "whole p50 ms",
};

/** The value below which a share of the values lies; `undefined` of none. */
export function quantile(
  values: readonly number[],
  share: number,
): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

function ms(value: number | undefined): string {
  return value === undefined ? "-" : value.toFixed(0);
}

function lineOf(name: string, answers: readonly ReportedAnswer[]): Line {
  const whole = answers.filter(({ outcome }) => outcome === "complete");
  const firsts = whole.flatMap(({ firstTokenMs }) =>
    firstTokenMs === undefined ? [] : [firstTokenMs]
  );
  const wholes = whole.map(({ wholeMs }) => wholeMs);
  return {
    class: name,
    calls: `${answers.length}`,
    whole: `${whole.length}`,
    tokens: `${answers.reduce((sum, { tokens }) => sum + tokens, 0)}`,
    firstP50: ms(quantile(firsts, 0.5)),
    firstP99: ms(quantile(firsts, 0.99)),
    wholeP50: ms(quantile(wholes, 0.5)),
  };
}

/** Lays out the table; the classes in the order given. */
export function reportClasses(
  classes: readonly string[],
  answersOf: (name: string) => readonly ReportedAnswer[],
): string {
  const lines = [
    HEAD,
    ...classes.map((name) => lineOf(name, answersOf(name))),
  ];
  const keys = Object.keys(HEAD) as (keyof Line)[];
  const widths = new Map(
    keys.map((key) =>
      [key, Math.max(...lines.map((line) => line[key].length))] as const
    ),
  );
  function cell(line: Line, key: keyof Line): string {
    const width = widths.get(key) ?? 0;
    return key === "class"
      ? line[key].padEnd(width)
      : line[key].padStart(width);
  }
  return lines
    .map((line) => keys.map((key) => cell(line, key)).join("  "))
    .join("\n");
}
