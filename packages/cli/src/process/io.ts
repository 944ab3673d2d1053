/**
 * The process's standard streams, so that tests can stand in for them.
 *
 * @module
 */
import process from "node:process";
import { createInterface } from "node:readline/promises";

/** What a command reads from and writes to. */
export interface Io {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether a person can be asked. */
  readonly interactive: boolean;
  out(text: string): void;
  error(text: string): void;
  /** All of standard input. */
  input(): Promise<string>;
  /** Asks a question; true for yes. */
  confirm(question: string): Promise<boolean>;
}

/** The streams of this process. */
export const PROCESS_IO: Io = {
  env: process.env,
  interactive: process.stdin.isTTY === true,
  out: (text) => {
    process.stdout.write(text);
  },
  error: (text) => {
    process.stderr.write(text);
  },
  input: async () => {
    const chunks: Uint8Array[] = [];
    for await (const chunk of process.stdin) chunks.push(chunk);
    return Buffer.concat(chunks).toString("utf8");
  },
  confirm: async (question) => {
    const lines = createInterface({
      input: process.stdin,
      output: process.stderr,
    });
    const answer = await lines.question(question);
    lines.close();
    return /^y(es)?$/i.test(answer.trim());
  },
};
