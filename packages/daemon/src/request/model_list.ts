/**
 * The list of models, in the OpenAI format.
 *
 * @module
 */
import type { Table } from "@umbermast/table";

/** Builds the body of `GET /v1/models`. */
export function modelList(table: Table): string {
  const data = table.services
    .filter(({ kind }) => kind === "model")
    .flatMap((service) =>
      service.models.map((id) => ({
        id,
        object: "model",
        created: 0,
        owned_by: service.name,
      }))
    );
  return JSON.stringify({ object: "list", data });
}
