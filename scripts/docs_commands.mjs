// The commands that pages show in blocks marked `sh`, and how CI runs each of them:
// - `ci`: a line of .ci/run runs it;
// - `test`: the test file that contains `text` runs it;
// - `run`: scripts/check_docs.mjs runs this command;
// - `serve`: scripts/check_docs.mjs starts this command, waits for its first line on
//   standard output, which must be JSON, runs all commands marked `tour` in the
//   order of the pages, and then sends it SIGTERM.
// `pattern` matches the whole command line as shown.
export const COMMANDS = [
  { pattern: /^npm test$/, ci: "npm test" },
  {
    pattern: /^node scripts\/test\.mjs judge$/,
    run: ["node", "scripts/test.mjs", "judge"],
  },
  {
    pattern: /^npm run demo$/,
    run: ["npm", "run", "--silent", "demo"],
  },
  {
    pattern:
      /^npm run stack -- --daemons 3 --runners 8 --deployment cooperative --json \| tee stack\.json$/,
    serve: [
      "npm",
      "run",
      "--silent",
      "stack",
      "--",
      "--daemons",
      "3",
      "--runners",
      "8",
      "--deployment",
      "cooperative",
      "--json",
    ],
  },
  { pattern: /^eval "\$\(node scripts\/stack_environment/, tour: true },
  { pattern: /^curl -sif "\$UMBERMAST_URL/, tour: true },
  { pattern: /^node packages\/cli\/dist\/src\/umbermastctl\.js /, tour: true },
  {
    pattern: /^node member\.mjs /,
    test: "packages/coordination/tests/readme_test.ts",
    text: "README.md",
  },
  { pattern: /^npm run build$/, ci: "npm run --silent build" },
  { pattern: /^npm run lint$/, ci: "npm run --silent lint" },
  {
    pattern: /^npm run bench -- arrivals --mix metro$/,
    run: [
      "npm",
      "run",
      "--silent",
      "bench",
      "--",
      "arrivals",
      "--mix",
      "metro",
    ],
  },
  ...[
    { shown: "table get", text: '"table get"' },
    { shown: "table set", text: "table set quote office weight=3" },
    { shown: "table edit", text: "table edit --row office/quote:weight=3" },
    { shown: "table export", text: '"table", "export"' },
    { shown: "table import", text: '"table", "import"' },
    { shown: "table history", text: '"table history"' },
    { shown: "table rollback", text: "table rollback first --yes" },
    { shown: "table resolve", text: '"table", "resolve"' },
  ].map(({ shown, text }) => ({
    pattern: new RegExp(`^umbermastctl ${shown}( |$)`),
    test: "packages/cli/src/request/table_commands_test.ts",
    text,
  })),
];
