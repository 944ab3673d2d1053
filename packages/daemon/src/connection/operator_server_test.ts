import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import { jsonResponse, openOperatorServer } from "./operator_server.ts";

const TOKEN = "operators-token";

async function opened(context: TestContext): Promise<string> {
  const server = await Effect.runPromise(openOperatorServer(
    { address: "127.0.0.1", port: 0, token: TOKEN },
    {
      "/status": (query) => jsonResponse({ q: query.get("q") }),
      "/broken": () => {
        throw new Error("a fault of the test");
      },
    },
  ));
  context.after(() => server.close());
  return `http://${server.address}`;
}

function get(
  url: string,
  options: { readonly authorization?: string; readonly method?: string } = {},
) {
  const { authorization = `Bearer ${TOKEN}`, method = "GET" } = options;
  const headers = authorization === "" ? {} : { authorization };
  return fetch(url, { method, headers });
}

test("serves a resource to a client with the token", async (context) => {
  const root = await opened(context);
  const response = await get(`${root}/status?q=1`);
  assert.equal(response.status, 200);
  assert.deepEqual(await response.json(), { q: "1" });
});

test("refuses every path to a client without the token", async (context) => {
  const root = await opened(context);
  for (const authorization of ["", "Bearer ", "Bearer x", `Basic ${TOKEN}`]) {
    for (const path of ["/status", "/none"]) {
      const response = await get(`${root}${path}`, { authorization });
      assert.equal(response.status, 401);
      const { error } = await response.json() as { error: { code: string } };
      assert.equal(error.code, "token_invalid");
    }
  }
});

test("unknown paths, unsupported methods and faults have error codes", async (context) => {
  const root = await opened(context);
  const codeOf = async (response: Response) => {
    const { error } = await response.json() as { error: { code: string } };
    return `${response.status} ${error.code}`;
  };
  assert.equal(await codeOf(await get(`${root}/none`)), "404 path_unknown");
  assert.equal(
    await codeOf(await get(`${root}/constructor`)),
    "404 path_unknown",
  );
  assert.equal(
    await codeOf(await get(`${root}/status`, { method: "POST" })),
    "405 method_unsupported",
  );
  assert.equal(await codeOf(await get(`${root}/broken`)), "500 internal");
});
