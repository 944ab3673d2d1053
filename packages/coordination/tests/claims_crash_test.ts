import assert from "node:assert/strict";
import { test } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type { CrashPoint } from "../src/process/crash_points.ts";
import type { ClaimsInStore } from "../src/process/claims_in_store.ts";
import { ClaimFleet } from "./claims_fixture.ts";

const CRASH_POINTS: readonly CrashPoint[] = [
  "claim.before_ask",
  "claim.after_ask",
  "claim.before_write",
  "claim.after_write",
  "claim.before_settle",
  "claim.after_settle",
];

/** Makes one attempt as a daemon does: claim, send, settle. */
function attemptRequest(claims: ClaimsInStore, run: () => void) {
  return Effect.gen(function* () {
    const outcome = yield* claims.claim("key", { digest: "body" });
    if (outcome._tag !== "Claimed") return outcome._tag;
    if (!outcome.claim.mayStart()) return "TooLate";
    run();
    yield* outcome.claim.settle({ _tag: "Answered" });
    return "Ran";
  }).pipe(Effect.catch(({ _tag }) => Effect.succeed(_tag)));
}

for (const point of CRASH_POINTS) {
  test(`a request runs at most once when a daemon crashes at ${point}`, async (t) => {
    // A daemon crashes between two steps. The caller retries through another
    // daemon, which must run the request only if the first cannot have run it.
    const fleet = new ClaimFleet(t, ["a", "b"]);
    const stopped = Deferred.makeUnsafe<void>();
    let runs = 0;
    const run = () => void (runs += 1);
    const a = await fleet.startDaemon("a", {
      membership: fleet.membership("a"),
      crashPoints: {
        reached: (reached) => {
          if (reached !== point) return Effect.void;
          Deferred.doneUnsafe(stopped, Effect.void);
          return Effect.never;
        },
      },
    });
    // Without a network the daemon decides its claims itself, so that it passes
    // each crash point.
    fleet.network.intercept = () => "refuse";
    const first = Effect.runFork(attemptRequest(a, run));
    await Effect.runPromise(Deferred.await(stopped));
    const b = await fleet.startDaemon("b");
    const second = await Effect.runPromise(attemptRequest(b, run));
    assert.ok(runs <= 1, `${runs} runs`);
    const free = point === "claim.before_ask" || point === "claim.before_write";
    assert.equal(second, free ? "Ran" : "Taken");
    first.interruptUnsafe();
  });
}
