// Prints shell exports with the addresses and a key of a stack, the daemons, runners
// and platform that `npm run stack` starts, for umbermastctl and the "Ten-minute tour"
// in README. Usage: eval "$(node scripts/stack_environment.mjs FILE)", where FILE holds
// the output of `npm run stack -- --json`. Its first line describes the stack.
import { readFileSync } from "node:fs";
import process from "node:process";

const [file = ""] = process.argv.slice(2);
const [line = ""] = readFileSync(file, "utf8").split("\n");
const stack = JSON.parse(line);
// The key of any workspace will do.
const [key = ""] = Object.values(stack.keys);
const operatorUrls = stack.daemons.map((daemon) => daemon.operatorUrl);
const environment = {
  UMBERMAST_URL: stack.daemons[0]?.url ?? "",
  UMBERMAST_KEY: key,
  UMBERMAST_OPERATOR_URLS: operatorUrls.join(","),
  UMBERMAST_OPERATOR_TOKEN: stack.operatorToken,
  UMBERMAST_PLATFORM_URL: stack.platform.url,
  // Name under which edits of configurations are recorded.
  UMBERMAST_EDITOR: "tour",
};
for (const [name, value] of Object.entries(environment)) {
  console.log(`export ${name}='${value}'`);
}
