/**
 * A process of a measurement: makes the part that its arguments name and
 * serves its parent until it goes.
 *
 * @module
 */
import process from "node:process";
import { Meter } from "./slopes_meter.ts";
import { PARTS } from "./slopes_parts.ts";
import type { ChildMessage, ParentMessage } from "./slopes_process.ts";

function tell(message: ChildMessage): void {
  process.send?.(message);
}

async function serve(): Promise<void> {
  const [, , name = "", config = "{}"] = process.argv;
  const meter = new Meter();
  const load = PARTS[name];
  if (load === undefined) throw new Error(`Cannot make part "${name}"`);
  const module = await load();
  const part = await module.makePart(JSON.parse(config), meter);
  process.on("message", async (message) => {
    const { id, command } = message as ParentMessage;
    try {
      const value = command === undefined
        ? meter.read()
        : await part.call(command);
      tell({ id, value });
    } catch (error) {
      tell({ id, error: String(error) });
    }
  });
  tell({ id: 0, value: part.info });
}

// A parent that is gone can neither stop nor read this process any more.
process.on("disconnect", () => process.exit(0));
try {
  await serve();
} catch (error) {
  tell({ id: 0, error: error instanceof Error ? error.stack : String(error) });
  process.exit(1);
}
