// Prints shell exports with the addresses and keys of a stack, for umbermastctl and
// the tour in README. Usage: eval "$(node scripts/stack_environment.mjs FILE)", where
// FILE holds the output of `npm run stack -- --json`.
import { readFileSync } from "node:fs";
import process from "node:process";

const [file = ""] = process.argv.slice(2);
const [line = ""] = readFileSync(file, "utf8").split("\n");
const stack = JSON.parse(line);
const [key = ""] = Object.values(stack.keys);
const urls = stack.daemons.map((daemon) => daemon.operatorUrl);
const environment = {
  UMBERMAST_URL: stack.daemons[0]?.url ?? "",
  UMBERMAST_KEY: key,
  UMBERMAST_OPERATOR_URLS: urls.join(","),
  UMBERMAST_OPERATOR_TOKEN: stack.operatorToken,
  UMBERMAST_PLATFORM_URL: stack.platform.url,
  UMBERMAST_EDITOR: "tour",
};
for (const [name, value] of Object.entries(environment)) {
  console.log(`export ${name}='${value}'`);
}
