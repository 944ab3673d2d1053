/**
 * Checks of what the table's entries say of one another.
 *
 * @module
 */
import { jsonPointer } from "./finding.ts";
import type { Finding } from "./finding.ts";
import type { Table } from "./table.ts";

/** Shares are written as decimals; their sum may exceed 1 by rounding alone. */
const SHARE_TOLERANCE = 1e-9;

/**
 * Reports duplicates, names that nothing carries and shares that cannot all be
 * kept.
 *
 * @internal
 */
export function referenceFindings(table: Table): readonly Finding[] {
  return [
    ...duplicateClasses(table),
    ...shareFindings(table),
    ...workspaceFindings(table),
    ...rowFindings(table),
    ...serviceFindings(table),
  ];
}

/** An occurrence of a value that must be unique. */
interface Occurrence {
  readonly value: string;
  readonly place: string;
}

function duplicates(
  what: string,
  occurrences: readonly Occurrence[],
): readonly Finding[] {
  const first = new Map<string, string>();
  const found: Finding[] = [];
  for (const { value, place } of occurrences) {
    const earlier = first.get(value);
    if (earlier === undefined) {
      first.set(value, place);
      continue;
    }
    found.push({
      place,
      message: `Duplicate ${what} "${value}", already at ${earlier}`,
    });
  }
  return found;
}

function duplicateClasses(table: Table): readonly Finding[] {
  return duplicates(
    "class",
    table.classes.map(({ name }, at) => ({
      value: name,
      place: jsonPointer(["classes", at, "name"]),
    })),
  );
}

function shareFindings(table: Table): readonly Finding[] {
  const sum = table.classes.reduce(
    (total, { minimumShare }) => total + minimumShare,
    0,
  );
  if (sum <= 1 + SHARE_TOLERANCE) return [];
  return [{
    place: "/classes",
    message: `Minimum shares sum to ${
      Number(sum.toFixed(6))
    }, which is above 1: they cannot all be kept`,
  }];
}

function workspaceFindings(table: Table): readonly Finding[] {
  const classes = new Set(table.classes.map(({ name }) => name));
  const names = table.workspaces.map(({ name }, at) => ({
    value: name,
    place: jsonPointer(["workspaces", at, "name"]),
  }));
  const digests = table.workspaces.flatMap(({ keyDigests }, at) =>
    keyDigests.map((value, index) => ({
      value,
      place: jsonPointer(["workspaces", at, "keyDigests", index]),
    }))
  );
  const unknown = table.workspaces.flatMap(({ defaultClass }, at) =>
    classes.has(defaultClass) ? [] : [{
      place: jsonPointer(["workspaces", at, "defaultClass"]),
      message: `Unknown class "${defaultClass}"`,
    }]
  );
  return [
    ...duplicates("workspace", names),
    ...duplicates("key digest", digests),
    ...unknown,
  ];
}

function rowFindings(table: Table): readonly Finding[] {
  const classes = new Set(table.classes.map(({ name }) => name));
  const workspaces = new Set(table.workspaces.map(({ name }) => name));
  const found: Finding[] = [];
  for (const [at, row] of table.rows.entries()) {
    if (!workspaces.has(row.workspace)) {
      found.push({
        place: jsonPointer(["rows", at, "workspace"]),
        message: `Unknown workspace "${row.workspace}"`,
      });
    }
    if (!classes.has(row.class)) {
      found.push({
        place: jsonPointer(["rows", at, "class"]),
        message: `Unknown class "${row.class}"`,
      });
    }
  }
  const keys = table.rows.map((row, at) => ({
    value: `${row.workspace}/${row.class}`,
    place: jsonPointer(["rows", at]),
  }));
  return [...found, ...duplicates("row", keys)];
}

function serviceFindings(table: Table): readonly Finding[] {
  const names = table.services.map(({ name }, at) => ({
    value: name,
    place: jsonPointer(["services", at, "name"]),
  }));
  // A request names its model alone, so a model leads to one service.
  const models = table.services.flatMap((service, at) =>
    service.models.map((value, index) => ({
      value,
      place: jsonPointer(["services", at, "models", index]),
    }))
  );
  const kinds = table.services.flatMap((service, at) => {
    const place = jsonPointer(["services", at, "models"]);
    if (service.kind === "plain" && service.models.length > 0) {
      return [{ place, message: "A plain service serves no models" }];
    }
    if (service.kind === "model" && service.models.length === 0) {
      return [{ place, message: "A model service needs at least one model" }];
    }
    return [];
  });
  return [
    ...duplicates("service", names),
    ...duplicates("model", models),
    ...kinds,
  ];
}
