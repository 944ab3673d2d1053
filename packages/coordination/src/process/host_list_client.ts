/**
 * HTTP client of the platform's host list, which it follows by long polling.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import type { Scope } from "effect/Scope";
import type { Host, HostFinding, HostList } from "./host_list.ts";
import { parseHosts } from "./host_list.ts";
import { HttpClient } from "./http_client.ts";
import { notifyListeners } from "./notify_listeners.ts";

/** Options of {@linkcode followHostList}. */
export interface HostListClientOptions {
  /** Base URL of the platform, such as `http://10.0.0.1:8080`. */
  readonly url: string;
  /** Hosts to use until the platform has answered. Default: none. */
  readonly initial?: readonly Host[];
  /** How long the platform may hold a poll, in milliseconds. Default 30,000. */
  readonly waitMs?: number;
  /**
   * Pause between two polls, in milliseconds. Default 1,000. It batches
   * changes: many hosts that change at once cost a few polls instead of one
   * each.
   */
  readonly pauseMs?: number;
  /** Called with the malformed hosts of a response. */
  readonly onFindings?: (findings: readonly HostFinding[]) => void;
  /** Called when the platform starts or stops answering. */
  readonly onCurrent?: (current: boolean, reason: string) => void;
  /** Called with an error that a listener throws. The list is followed on. */
  readonly onFault?: (error: unknown) => void;
}

/** The platform did not answer a poll, or its response is not a host list. */
interface PollFailed {
  readonly _tag: "PollFailed";
  readonly reason: string;
  /** Whether the requested revision has expired at the platform. */
  readonly gone: boolean;
}

interface HostListResponse {
  readonly revision: number;
  readonly hosts: readonly unknown[];
}

const DEFAULT_WAIT_MS = 30_000;
const DEFAULT_PAUSE_MS = 1000;
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 10_000;
/** Added to the wait for the time-out of a poll. */
const RESPONSE_MARGIN_MS = 5000;
const HTTP_OK = 200;
const HTTP_GONE = 410;

function pollFailed(reason: string, gone = false): PollFailed {
  return { _tag: "PollFailed", reason, gone };
}

function isHostListResponse(value: unknown): value is HostListResponse {
  if (typeof value !== "object" || value === null) return false;
  const { revision, hosts } = value as Partial<HostListResponse>;
  return Number.isSafeInteger(revision) && Array.isArray(hosts);
}

function poll(
  http: HttpClient,
  path: string,
  options: { readonly timeoutMs: number },
): Effect.Effect<HostListResponse, PollFailed> {
  return http.send({ method: "GET", path }, options).pipe(
    Effect.mapError(({ reason }) => pollFailed(reason)),
    Effect.flatMap(({ status, body }) => {
      if (status !== HTTP_OK) {
        const gone = status === HTTP_GONE;
        return Effect.fail(pollFailed(`status ${status}`, gone));
      }
      return isHostListResponse(body)
        ? Effect.succeed(body)
        : Effect.fail(pollFailed("response is not a host list"));
    }),
  );
}

class PolledHostList implements HostList {
  readonly #options: HostListClientOptions;
  readonly #http: HttpClient;
  readonly #listeners = new Set<(hosts: readonly Host[]) => void>();
  #hosts: readonly Host[];
  #revision: number | undefined;
  #current = false;

  constructor(options: HostListClientOptions) {
    this.#options = options;
    this.#http = new HttpClient(new URL(options.url), { maxSockets: 1 });
    this.#hosts = options.initial ?? [];
  }

  hosts(): readonly Host[] {
    return this.#hosts;
  }

  current(): boolean {
    return this.#current;
  }

  subscribe(listener: (hosts: readonly Host[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Polls without end, in sequence. */
  readonly run = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<never> {
      let backoffMs = MIN_BACKOFF_MS;
      while (true) {
        const failure = yield* this.#tryPoll();
        if (failure === undefined) {
          backoffMs = MIN_BACKOFF_MS;
          yield* Effect.sleep(this.#options.pauseMs ?? DEFAULT_PAUSE_MS);
          continue;
        }
        // Jitter, so that the whole fleet does not retry at the same time.
        yield* Effect.sleep(
          yield* Random.nextBetween(backoffMs / 2, backoffMs),
        );
        backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
      }
    },
  );

  /** Polls once; an error that a callback throws counts as a failure. */
  #tryPoll(): Effect.Effect<PollFailed | undefined> {
    return this.#pollOnce().pipe(
      Effect.tap((failure) => Effect.sync(() => this.#recordFailure(failure))),
      // Uncaught, a defect would end this fibre, and nothing would tell so.
      Effect.catchDefect((defect) =>
        Effect.sync(() => {
          this.#options.onFault?.(defect);
          return pollFailed(String(defect));
        })
      ),
    );
  }

  #recordFailure(failure: PollFailed | undefined): void {
    if (failure === undefined) return;
    if (failure.gone) this.#revision = undefined;
    this.#setCurrent(false, failure.reason);
  }

  #pollOnce(): Effect.Effect<PollFailed | undefined> {
    const waitMs = this.#options.waitMs ?? DEFAULT_WAIT_MS;
    const timeoutMs = waitMs + RESPONSE_MARGIN_MS;
    const path = this.#revision === undefined
      ? "/hosts"
      : `/hosts?from=${this.#revision}&wait=${waitMs}`;
    return poll(this.#http, path, { timeoutMs }).pipe(
      Effect.match({
        onFailure: (failure) => failure,
        onSuccess: (response) => this.#accept(response),
      }),
    );
  }

  #accept(response: HostListResponse): undefined {
    this.#setCurrent(true, "answered");
    if (response.revision === this.#revision) return;
    const { hosts, findings } = parseHosts(response.hosts);
    this.#revision = response.revision;
    this.#hosts = hosts;
    const { onFindings, onFault = () => {} } = this.#options;
    if (onFindings !== undefined && findings.length > 0) {
      notifyListeners([onFindings], findings, { onFault });
    }
    notifyListeners(this.#listeners, hosts, { onFault });
  }

  /** Closes the connection. */
  close(): void {
    this.#http.close();
  }

  #setCurrent(current: boolean, reason: string): void {
    if (this.#current === current) return;
    this.#current = current;
    this.#options.onCurrent?.(current, reason);
  }
}

/**
 * Follows the platform's host list until the scope closes. Returns immediately;
 * the list holds the `initial` hosts until the platform has answered, and keeps
 * the last received hosts while the platform is down.
 *
 * @example
 * ```ts
 * const list = yield* followHostList({ url: "http://10.0.0.1:8080" });
 * list.subscribe((hosts) => console.log(hosts.length));
 * ```
 */
export const followHostList = Effect.fnUntraced(function* (
  options: HostListClientOptions,
): Effect.fn.Return<HostList, never, Scope> {
  const list = new PolledHostList(options);
  yield* Effect.addFinalizer(() => Effect.sync(() => list.close()));
  yield* list.run().pipe(Effect.forkScoped);
  return list;
});
