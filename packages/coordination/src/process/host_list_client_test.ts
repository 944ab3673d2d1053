import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import type { HostListClientOptions } from "./host_list_client.ts";
import { followHostList } from "./host_list_client.ts";
import type { Host, HostFinding, HostList } from "./host_list.ts";

function hostNamed(name: string): Host {
  return {
    name,
    role: "entry",
    address: "10.0.0.1",
    port: 7000,
    region: "kingston",
    failureDomain: "portmore",
    state: "live",
    incarnation: 1,
  };
}

/** A fake platform whose polls the test answers one at a time. */
class Platform {
  readonly paths: string[] = [];
  readonly #server: Server;
  readonly #held: ServerResponse[] = [];
  #onPoll: (() => void) | undefined;

  constructor() {
    this.#server = createServer((request, response) => {
      this.paths.push(request.url ?? "");
      this.#held.push(response);
      this.#onPoll?.();
    });
  }

  static readonly open = Effect.acquireRelease(
    Effect.callback<Platform>((resume) => {
      const platform = new Platform();
      platform.#server.listen(0, "127.0.0.1", () => {
        resume(Effect.succeed(platform));
      });
    }),
    (platform) => Effect.sync(() => platform.#close()),
  );

  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Waits for a poll and answers it. */
  answer(status: number, body: unknown): Effect.Effect<void> {
    return Effect.callback((resume) => {
      const attempt = () => {
        const response = this.#held.shift();
        if (response === undefined) return;
        this.#onPoll = undefined;
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body), () => resume(Effect.void));
      };
      this.#onPoll = attempt;
      attempt();
    });
  }

  #close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

function follow(
  platform: Platform,
  overrides: Partial<HostListClientOptions> = {},
) {
  return followHostList({ url: platform.url, pauseMs: 1, ...overrides });
}

function names(list: HostList): readonly string[] {
  return list.hosts().map(({ name }) => name);
}

function nextChange(list: HostList): Effect.Effect<readonly Host[]> {
  return Effect.callback((resume) => {
    const unsubscribe = list.subscribe((hosts) => {
      unsubscribe();
      resume(Effect.succeed(hosts));
    });
  });
}

test("the list follows the platform from revision to revision", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const platform = yield* Platform.open;
    const list = yield* follow(platform, { waitMs: 777 });
    yield* platform.answer(200, { revision: 4, hosts: [hostNamed("a")] });
    yield* platform.answer(200, { revision: 5, hosts: [hostNamed("b")] });
    yield* platform.answer(503, {});
    assert.deepEqual(names(list), ["b"]);
    assert.deepEqual(platform.paths.slice(0, 2), [
      "/hosts",
      "/hosts?from=4&wait=777",
    ]);
  }))));

test("the list keeps its hosts while the platform is down", () =>
  // The platform answers once and then fails. The list keeps the hosts last
  // received, reports that it is not current, and recovers with the next
  // answer.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const platform = yield* Platform.open;
    const states: boolean[] = [];
    const list = yield* follow(platform, {
      onCurrent: (current) => states.push(current),
    });
    yield* platform.answer(200, { revision: 1, hosts: [hostNamed("a")] });
    yield* platform.answer(503, {});
    yield* platform.answer(200, { revision: 1, hosts: [hostNamed("a")] });
    yield* platform.answer(200, { revision: 1, hosts: [hostNamed("a")] });
    assert.deepEqual(names(list), ["a"]);
    assert.deepEqual(states, [true, false, true]);
    assert.equal(list.current(), true);
  }))));

// Guards against a daemon that keeps its first list of hosts for good because a
// part of it failed once.
test("callbacks that throw neither end the polls nor keep the hosts from others", () =>
  Effect.runPromise(Effect.scoped(
    Effect.gen(function* () {
      const platform = yield* Platform.open;
      const faults: string[] = [];
      const fail = (reason: string) => () => {
        throw new Error(reason);
      };
      const list = yield* follow(platform, {
        onCurrent: fail("current"),
        onFindings: fail("findings"),
        onFault: (error) => faults.push((error as Error).message),
      });
      list.subscribe(fail("listener"));
      const seen: (readonly string[])[] = [];
      list.subscribe((hosts) => seen.push(hosts.map(({ name }) => name)));
      const hosts = [hostNamed("a"), { ...hostNamed("b"), port: "x" }];
      // The first one is lost with `onCurrent`, so its revision is sent again.
      yield* platform.answer(200, { revision: 1, hosts: [] });
      yield* platform.answer(200, { revision: 1, hosts });
      yield* platform.answer(200, { revision: 2, hosts: [hostNamed("c")] });
      yield* platform.answer(200, { revision: 2, hosts: [] });
      assert.deepEqual(seen, [["a"], ["c"]]);
      assert.deepEqual(names(list), ["c"]);
      assert.deepEqual(faults, ["current", "findings", "listener", "listener"]);
    }).pipe(Effect.timeout(10_000)),
  )));

test("an expired revision is not requested again", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const platform = yield* Platform.open;
    yield* follow(platform);
    yield* platform.answer(200, { revision: 9, hosts: [] });
    yield* platform.answer(410, {});
    yield* platform.answer(200, { revision: 1, hosts: [] });
    assert.equal(platform.paths[2], "/hosts");
  }))));

test("the initial hosts are used until the platform has answered", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const platform = yield* Platform.open;
    const list = yield* follow(platform, { initial: [hostNamed("seed")] });
    assert.deepEqual(names(list), ["seed"]);
    assert.equal(list.current(), false);
    const [hosts] = yield* nextChange(list).pipe(
      Effect.zip(
        platform.answer(200, { revision: 1, hosts: [hostNamed("a")] }),
        { concurrent: true },
      ),
    );
    assert.deepEqual(hosts.map(({ name }) => name), ["a"]);
  }))));

test("a malformed host is reported with its index, and the others are kept", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const platform = yield* Platform.open;
    const found: HostFinding[] = [];
    const list = yield* follow(platform, {
      onFindings: (findings) => found.push(...findings),
    });
    const malformed = { ...hostNamed("b"), port: "x", state: "asleep" };
    yield* nextChange(list).pipe(
      Effect.zip(
        platform.answer(200, {
          revision: 1,
          hosts: [hostNamed("a"), malformed, hostNamed("c")],
        }),
        { concurrent: true },
      ),
    );
    assert.deepEqual(names(list), ["a", "c"]);
    assert.deepEqual(found.map(({ index }) => index), [1]);
    assert.equal(
      found[0]?.message,
      '"port": expected a port from 1 to 65535; "state": expected "live" or "leaving"',
    );
  }))));

test("a response that is not a host list counts as a failed poll", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const platform = yield* Platform.open;
    const list = yield* follow(platform, { initial: [hostNamed("seed")] });
    yield* platform.answer(200, { hosts: "none" });
    yield* platform.answer(503, {});
    assert.deepEqual(names(list), ["seed"]);
    assert.equal(list.current(), false);
  }))));
