/**
 * The origins of streams in messages between daemons.
 *
 * @module
 */
import { groupBy } from "../process/group.ts";
import { NO_ORIGINS } from "../process/stream_origins.ts";
import type { OriginUpdates } from "../process/stream_origins.ts";

/** Streams of one version of a service. */
type PackedStreams = readonly [
  service: string,
  software: string,
  streams: readonly string[],
];

/** Origins and questions as arrays without field names: 13 bytes for each. */
export type PackedOrigins = readonly [
  origins: readonly PackedStreams[],
  wanted: readonly string[],
];

/** Encodes origins and questions; undefined without any. */
export function packOrigins(
  { origins, wanted }: OriginUpdates,
): PackedOrigins | undefined {
  if (origins.length + wanted.length === 0) return undefined;
  const groups = groupBy(
    origins,
    ({ service, software }) => JSON.stringify([service, software]),
  );
  return [
    [...groups.values()].map((group) => [
      group[0]!.service,
      group[0]!.software,
      group.map(({ stream }) => stream),
    ]),
    wanted,
  ];
}

/**
 * Decodes origins that {@linkcode packOrigins} encoded. Their texts are checked
 * where they are applied.
 */
export function unpackOrigins(
  packed: PackedOrigins | undefined,
): OriginUpdates {
  if (packed === undefined) return NO_ORIGINS;
  const [groups, wanted] = packed;
  const origins = groups.flatMap(([service, software, streams]) =>
    streams.map((stream) => ({ service, software, stream }))
  );
  return { origins, wanted };
}
