/**
 * The list of models, in the OpenAI shape.
 *
 * @module
 */
import type { Table } from "@umbermast/table";

/** Body of `GET /v1/models`. */
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
