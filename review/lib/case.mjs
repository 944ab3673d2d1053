// What the cases share: a folder of their own, a record and an end.
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const TROUBLE = process.env.TROUBLE !== "0";

export class Case {
  #began = performance.now();
  #file;
  #ends = [];

  constructor(recordFile) {
    this.#file = recordFile;
    writeFileSync(recordFile, "");
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
  }

  get ms() {
    return Math.round(performance.now() - this.#began);
  }

  /** Writes a line of the record. */
  record = (what, fields = {}) => {
    const words = Object.entries(fields).map(([name, value]) =>
      `${name}=${typeof value === "object" ? JSON.stringify(value) : value}`
    );
    appendFileSync(this.#file, `${[this.ms, what, ...words].join(" ")}\n`);
  };

  /** Calls `end` when the case is over. */
  atEnd(end) {
    this.#ends.push(end);
  }

  async close(status) {
    for (const end of this.#ends.reverse()) await end();
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true });
    else console.log(this.folder);
    process.exit(status);
  }
}

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function play(recordFile, run) {
  const test = new Case(recordFile);
  const timer = setTimeout(async () => {
    test.record("could not run", { reason: "took too long" });
    await test.close(2);
  }, 110_000);
  timer.unref();
  // An error outside the case's own promises is no finding.
  process.on("uncaughtException", async (error) => {
    test.record("could not run", { reason: error.stack });
    console.log(`could not run: ${error.message}`);
    await test.close(2);
  });
  let status = 2;
  try {
    const breaches = await run(test);
    status = breaches.length === 0 ? 0 : 1;
    for (const breach of breaches) test.record("BROKEN", { breach });
    test.record(status === 0 ? "the rule held" : "the rule was broken", {
      trouble: TROUBLE,
      breaches: breaches.length,
    });
    console.log(
      status === 0 ? "held" : `broken: ${breaches.length}, first: ${breaches[0]}`,
    );
  } catch (error) {
    test.record("could not run", { reason: error.stack });
    console.log(`could not run: ${error.message}`);
  }
  await test.close(status);
}
