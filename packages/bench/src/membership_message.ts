/**
 * Messages between `bench membership` and its member processes.
 *
 * @module
 */
import type { Host, NodeTraffic } from "@umbermast/coordination";

/** What a member process is asked for. */
export type MemberOrder =
  | { readonly kind: "hosts"; readonly hosts: readonly Host[] }
  | { readonly kind: "sample"; readonly id: number }
  | { readonly kind: "leave" };

/** What one process has spent since its start. */
export interface MemberSample {
  readonly id: number;
  readonly cpuMicros: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
  readonly traffic: NodeTraffic;
  readonly members: number;
}

/** What a member process says. */
export type MemberNotice =
  | { readonly kind: "ready"; readonly host: Host }
  | { readonly kind: "sample"; readonly sample: MemberSample }
  | {
    readonly kind: "changed";
    readonly name: string;
    readonly state: "suspect" | "removed" | "leaving";
    /** Milliseconds since the epoch. */
    readonly at: number;
  };
