/**
 * What the launcher and tests ask of the stand-ins.
 *
 * @module
 */
import {
  initialStoredTable,
  newEditId,
  type Table,
  TABLE_KIND,
  TABLE_NAME,
} from "@umbermast/table";
import type { ListedHost } from "./host_list.ts";
import { fetchJson } from "./json_client.ts";

const HTTP_OK = 200;

/** Stores the initial table; fails when there is one already. */
export async function putTable(
  platformUrl: string,
  table: Table,
): Promise<void> {
  const edit = { editId: newEditId(0), editor: "stack", at: Date.now() };
  await change(`${platformUrl}/objects/${TABLE_KIND}/${TABLE_NAME}`, "PUT", {
    headers: { "if-version": "0" },
    body: initialStoredTable(table, edit),
  });
}

/** Lists a host, shown after the lag; at once by default. */
export async function setHost(
  platformUrl: string,
  host: ListedHost,
  options: { readonly lagMs?: number } = {},
): Promise<void> {
  const place = hostPlace(platformUrl, host.name, options);
  await change(place, "PUT", { body: host });
}

/** Takes a host off the list, shown after the lag; at once by default. */
export async function removeHost(
  platformUrl: string,
  name: string,
  options: { readonly lagMs?: number } = {},
): Promise<void> {
  await change(hostPlace(platformUrl, name, options), "DELETE");
}

/** Orders a fault at a stand-in. */
export async function orderFault(url: string, fault: object): Promise<void> {
  await change(`${url}/control`, "POST", { body: fault });
}

function hostPlace(
  platformUrl: string,
  name: string,
  options: { readonly lagMs?: number },
): string {
  const lag = options.lagMs ?? 0;
  return `${platformUrl}/hosts/${encodeURIComponent(name)}?lag=${lag}`;
}

async function change(
  url: string,
  method: string,
  options: {
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
  } = {},
): Promise<void> {
  const { status, body } = await fetchJson(url, { method, ...options });
  if (status === HTTP_OK) return;
  const answer = JSON.stringify(body);
  throw new Error(`Cannot ${method} ${url}: status ${status}, ${answer}`);
}
