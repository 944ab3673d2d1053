/**
 * Generator of the operators' settings page from the schema of the settings.
 *
 * @module
 */
import * as Schema from "effect/Schema";
import { expectationOf, fieldsOf } from "./setting_findings.ts";
import { SETTINGS } from "./settings.ts";

const HEAD = `# Settings of umbermastd

This page is written by \`scripts/settings_page.mjs\` from the schema in
\`packages/daemon/src/process/settings.ts\`; change it there.

Settings are one JSON file, given as \`umbermastd --settings FILE\`. \`umbermastd
check FILE\` only checks it. What is wrong is reported all together on standard
error, one line for each place, and the exit status is 78:

\`\`\`text
/listen/port: expected an integer from 0 to 65535, got "x"
/limits/bodybytes: no such setting
\`\`\`

Places are JSON pointers. Values of secrets are never shown or logged.
`;

function annotationsOf(schema: Schema.Top): Readonly<Record<string, unknown>> {
  return Schema.resolveAnnotations(schema) ?? {};
}

function settingLines(schema: Schema.Top): readonly string[] {
  const annotations = annotationsOf(schema);
  const { description, defaultValue, mayBeAbsent } = annotations;
  const required = mayBeAbsent === true ? "May be absent." : "Required.";
  const defaultText = defaultValue === undefined
    ? required
    : `Default: \`${JSON.stringify(defaultValue)}\`.`;
  return [
    String(description),
    "",
    `Expected: ${expectationOf(schema)}. ${defaultText}`,
    "",
  ];
}

function linesOf(
  schema: Schema.Top,
  options: { readonly pointer: string; readonly depth: number },
): readonly string[] {
  const { pointer, depth } = options;
  const fields = fieldsOf(schema);
  const heading = `${"#".repeat(depth)} \`${pointer}\``;
  if (fields === undefined) return [heading, "", ...settingLines(schema)];
  const parts = Object.entries(fields).flatMap(([key, field]) =>
    linesOf(field, { pointer: `${pointer}/${key}`, depth: depth + 1 })
  );
  return pointer === "" ? parts : [heading, "", ...parts];
}

/** The page in Markdown. */
export function settingsPage(): string {
  const lines = linesOf(SETTINGS, { pointer: "", depth: 1 });
  return [HEAD, ...lines].join("\n");
}
