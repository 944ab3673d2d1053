/**
 * The platform's host list, which lags behind the truth.
 *
 * @module
 */

/** A host as listed. */
export interface ListedHost {
  readonly name: string;
  readonly role: "entry" | "runner";
  /** Set for runners. */
  readonly service?: string;
  readonly address: string;
  /** HTTP port of a runner, peer port of an entry host. */
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
  /** Grows when the host is replaced. */
  readonly incarnation: number;
}

/** Hosts, each change shown after a lag. */
export class HostList {
  readonly #hosts = new Map<string, ListedHost>();
  readonly #waiters = new Set<() => void>();
  readonly #frozen: () => boolean;
  #held: (() => void)[] = [];
  #revision = 1;

  /** While `frozen` holds, no change is shown. */
  constructor(frozen: () => boolean) {
    this.#frozen = frozen;
  }

  get revision(): number {
    return this.#revision;
  }

  list(): readonly ListedHost[] {
    return [...this.#hosts.values()];
  }

  /** Lists a host, or takes it off when `host` is undefined, after the lag. */
  set(
    name: string,
    host: ListedHost | undefined,
    options: { readonly lagMs: number },
  ): void {
    const show = () => this.#show(name, host);
    if (options.lagMs === 0) return show();
    setTimeout(show, options.lagMs).unref();
  }

  /** Shows what was held back while the list was frozen. */
  thaw(): void {
    const held = this.#held;
    this.#held = [];
    for (const show of held) show();
  }

  /** Ends at the next change, or after `waitMs`. */
  changed(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
    });
  }

  #show(name: string, host: ListedHost | undefined): void {
    if (this.#frozen()) {
      this.#held.push(() => this.#show(name, host));
      return;
    }
    if (host === undefined) this.#hosts.delete(name);
    else this.#hosts.set(name, host);
    this.#revision += 1;
    for (const wake of [...this.#waiters]) wake();
  }
}

const REQUIRED_TEXTS = [
  "name",
  "address",
  "region",
  "failureDomain",
] as const;

/** Reads the body of `PUT /hosts/{name}`; a text when it is not a host. */
export function readHost(value: unknown): ListedHost | string {
  if (typeof value !== "object" || value === null) {
    return "/: expected an object";
  }
  const given = value as Record<string, unknown>;
  for (const key of REQUIRED_TEXTS) {
    if (typeof given[key] !== "string") return `/${key}: expected a string`;
  }
  if (given.role !== "entry" && given.role !== "runner") {
    return "/role: expected entry or runner";
  }
  if (given.state !== "live" && given.state !== "leaving") {
    return "/state: expected live or leaving";
  }
  if (!Number.isInteger(given.port)) return "/port: expected an integer";
  if (!Number.isInteger(given.incarnation)) {
    return "/incarnation: expected an integer";
  }
  return value as ListedHost;
}
