// Generates docs/operators/settings.md from the schema of the settings.
// Usage, after a build: node scripts/settings_page.mjs && npx deno fmt docs
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { settingsPage } from "../packages/daemon/dist/src/process/settings_page.js";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const page = join(root, "docs", "operators", "settings.md");
writeFileSync(page, settingsPage());
