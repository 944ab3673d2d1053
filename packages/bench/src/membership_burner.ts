/**
 * Keeps one processor busy until its parent ends it, or for two minutes.
 *
 * @module
 */
import process from "node:process";

const LIMIT_MS = 120_000;
const SLICE_MS = 50;
const startedAt = Date.now();

function burn(): void {
  const until = Date.now() + SLICE_MS;
  while (Date.now() < until);
  if (Date.now() - startedAt > LIMIT_MS) process.exit(0);
  setImmediate(burn);
}

process.on("disconnect", () => process.exit(0));
burn();
