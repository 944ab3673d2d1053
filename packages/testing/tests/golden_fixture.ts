/**
 * Recorded sessions: a real daemon between a raw caller and played runners.
 *
 * @module
 */
import type { TestContext } from "node:test";
import { fetchJson, startStack } from "../src/mod.ts";
import type { Stack, StackDaemon, StackOptions } from "../src/mod.ts";
import { RecordedCaller } from "./golden_caller.ts";
import { requestText } from "./golden_message.ts";
import { PlayedRunner } from "./golden_runner.ts";

/** A daemon with a model runner and a plain runner that a test plays. */
export interface Recorded {
  readonly stack: Stack;
  readonly daemon: StackDaemon;
  readonly model: PlayedRunner;
  readonly plain: PlayedRunner;
  readonly key: string;
  caller(): Promise<RecordedCaller>;
}

/** Waits until a daemon knows as many runners. */
export async function knowsRunners(
  stack: Stack,
  options: { readonly daemon: StackDaemon; readonly count: number },
): Promise<void> {
  const headers = { authorization: `Bearer ${stack.operatorToken}` };
  for (;;) {
    const url = `${options.daemon.operatorUrl}/runners`;
    const { body } = await fetchJson(url, { headers });
    const { runners } = body as { readonly runners: readonly unknown[] };
    if (runners.length === options.count) return;
  }
}

/** Starts a daemon between recorded ends; all of it ends with the test. */
export async function record(
  context: Pick<TestContext, "after">,
  options: StackOptions = {},
): Promise<Recorded> {
  const stack = await startStack({
    daemons: 1,
    runners: 0,
    plainRunners: 0,
    ...options,
  });
  const model = await PlayedRunner.open("drafting");
  const plain = await PlayedRunner.open("yard");
  context.after(async () => {
    model.close();
    plain.close();
    await stack.close();
  });
  const { modelService, plainService, region } = stack.deployment;
  const [failureDomain = ""] = stack.deployment.failureDomains;
  const place = {
    role: "runner",
    address: "127.0.0.1",
    region,
    failureDomain,
    state: "live",
    incarnation: 1,
  } as const;
  const [daemon] = stack.daemons;
  if (daemon === undefined) throw new Error("Cannot record: no daemon");
  // Nothing listens where this runner is listed.
  const closed = await PlayedRunner.open("closed");
  const listed = [
    { name: "drafting", service: modelService, port: model.port },
    { name: "yard", service: plainService, port: plain.port },
    { name: "closed", service: "closed-app", port: closed.port },
  ];
  closed.close();
  for (const host of listed) await stack.setHost({ ...place, ...host });
  await knowsRunners(stack, { daemon, count: listed.length });
  return {
    stack,
    daemon,
    model,
    plain,
    key: stack.keys["front-office"] ?? "",
    caller: () => RecordedCaller.open(daemon.url),
  };
}

/** Text of a chat completion. */
export function chatText(
  recorded: Recorded,
  options: {
    readonly body?: Readonly<Record<string, unknown>>;
    readonly headers?: readonly string[];
  } = {},
): string {
  const body = JSON.stringify({
    model: recorded.stack.deployment.model,
    messages: [{ role: "user", content: "A quote for a worktop" }],
    ...options.body,
  });
  return requestText("POST /v1/chat/completions HTTP/1.1", {
    key: recorded.key,
    headers: [
      "content-type: application/json",
      ...(options.headers ?? ["connection: close"]),
    ],
    body,
  });
}
