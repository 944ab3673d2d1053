/**
 * Validation across the table's entries: unique values, references by name, and
 * fields that must agree.
 *
 * @module
 */
import { jsonPointer } from "./finding.ts";
import type { Finding } from "./finding.ts";
import type { Table } from "./table.ts";

/** The sum of decimal shares may exceed 1 by floating-point rounding alone. */
const SHARE_TOLERANCE = 1e-9;

/**
 * Reports duplicates, references to unknown names, services whose models do not
 * match their kind, and minimum shares that sum to more than 1.
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
  label: string,
  occurrences: readonly Occurrence[],
): readonly Finding[] {
  const firstPlaces = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { value, place } of occurrences) {
    const earlier = firstPlaces.get(value);
    if (earlier === undefined) {
      firstPlaces.set(value, place);
      continue;
    }
    findings.push({
      place,
      message: `Duplicate ${label} "${value}", already at ${earlier}`,
    });
  }
  return findings;
}

function duplicateClasses(table: Table): readonly Finding[] {
  return duplicates(
    "class",
    table.classes.map(({ name }, index) => ({
      value: name,
      place: jsonPointer(["classes", index, "name"]),
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
  const names = table.workspaces.map(({ name }, index) => ({
    value: name,
    place: jsonPointer(["workspaces", index, "name"]),
  }));
  const digests = table.workspaces.flatMap(({ keyDigests }, index) =>
    keyDigests.map((value, digestIndex) => ({
      value,
      place: jsonPointer(["workspaces", index, "keyDigests", digestIndex]),
    }))
  );
  const unknown = table.workspaces.flatMap(({ defaultClass }, index) =>
    classes.has(defaultClass) ? [] : [{
      place: jsonPointer(["workspaces", index, "defaultClass"]),
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
  const unknown: Finding[] = [];
  for (const [index, row] of table.rows.entries()) {
    if (!workspaces.has(row.workspace)) {
      unknown.push({
        place: jsonPointer(["rows", index, "workspace"]),
        message: `Unknown workspace "${row.workspace}"`,
      });
    }
    if (!classes.has(row.class)) {
      unknown.push({
        place: jsonPointer(["rows", index, "class"]),
        message: `Unknown class "${row.class}"`,
      });
    }
  }
  const keys = table.rows.map((row, index) => ({
    value: `${row.workspace}/${row.class}`,
    place: jsonPointer(["rows", index]),
  }));
  return [...unknown, ...duplicates("row", keys)];
}

function serviceFindings(table: Table): readonly Finding[] {
  const names = table.services.map(({ name }, index) => ({
    value: name,
    place: jsonPointer(["services", index, "name"]),
  }));
  // A request names only a model, so each model must belong to one service.
  const models = table.services.flatMap((service, index) =>
    service.models.map((value, modelIndex) => ({
      value,
      place: jsonPointer(["services", index, "models", modelIndex]),
    }))
  );
  const kindFindings = table.services.flatMap((service, index) => {
    const place = jsonPointer(["services", index, "models"]);
    if (service.kind === "plain" && service.models.length > 0) {
      return [{ place, message: "A plain service serves no models" }];
    }
    if (service.kind === "model" && service.models.length === 0) {
      return [{
        place,
        message: "A model service needs at least one model",
      }];
    }
    return [];
  });
  return [
    ...duplicates("service", names),
    ...duplicates("model", models),
    ...kindFindings,
  ];
}
