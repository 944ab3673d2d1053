/**
 * What an experiment is, so that one command can run any of them.
 *
 * @module
 */

/** A value that an option of the command line can have. */
export type OptionValue = number | string | boolean;

/** One option of an experiment; its kind is that of its default. */
export interface Option {
  /** Camel case; given on the command line as `--kebab-case`. */
  readonly name: string;
  readonly summary: string;
  readonly fallback: OptionValue;
}

/** Lines with one cell for each column. */
export interface Grid {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** What an experiment found. */
export interface Findings {
  /** Printed as one JSON line with `--json`. */
  readonly result: object;
  /** Printed, aligned, without `--json`. */
  readonly grids: readonly Grid[];
}

/**
 * A measurement that can be asked for by name. A module that holds one exports
 * it as `experiment` and has a line in `experiments.ts`.
 */
export interface Experiment {
  readonly name: string;
  readonly summary: string;
  readonly options: readonly Option[];
  /** Rejects when the measurement could not be made. */
  run(settings: Settings): Promise<Findings>;
}

/** The values of an experiment's options in one run. */
export class Settings {
  readonly #values: ReadonlyMap<string, OptionValue>;

  /** Takes the defaults of `options` and, over them, what was given. */
  constructor(
    options: readonly Option[],
    given: Readonly<Record<string, unknown>> = {},
  ) {
    this.#values = new Map(
      options.map((option) => [option.name, valueOf(option, given)]),
    );
  }

  /** Value of a number option. */
  number(name: string): number {
    const value = this.#value(name);
    if (typeof value === "number") return value;
    throw new TypeError(`Cannot read option "${name}": it is not a number`);
  }

  /** Value of a text option. */
  text(name: string): string {
    const value = this.#value(name);
    if (typeof value === "string") return value;
    throw new TypeError(`Cannot read option "${name}": it is not a text`);
  }

  /** Value of a yes-or-no option. */
  flag(name: string): boolean {
    const value = this.#value(name);
    if (typeof value === "boolean") return value;
    throw new TypeError(`Cannot read option "${name}": it is not a flag`);
  }

  #value(name: string): OptionValue {
    const value = this.#values.get(name);
    if (value !== undefined) return value;
    throw new RangeError(`Cannot read option "${name}": it is not declared`);
  }
}

function valueOf(
  option: Option,
  given: Readonly<Record<string, unknown>>,
): OptionValue {
  const value = given[option.name];
  if (value === undefined) return option.fallback;
  if (typeof option.fallback === "boolean") return value === true;
  if (typeof option.fallback === "string") return String(value);
  const number = Number(value);
  if (Number.isFinite(number)) return number;
  throw new RangeError(
    `Cannot use option "${option.name}": expected a number, got "${value}"`,
  );
}
