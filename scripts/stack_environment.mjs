// Prints shell lines that tell the command-line tool and README's tour where a
// stack is. Usage: eval "$(node scripts/stack_environment.mjs FILE)", where FILE
// holds what `npm run stack -- --json` printed.
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
