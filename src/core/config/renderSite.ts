/** Rendering of the effective configuration of one site by JSON Merge Patch (RFC 7396). */
import { apply } from 'json-merge-patch';

/** A JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** A configuration: the base and one overlay for each site. */
export interface ConfigContent {
  readonly base: JsonObject;
  readonly overlays: Readonly<Record<string, JsonObject>>;
}

/**
 * Keys that must be rejected before a merge: `json-merge-patch` drops every key after one of the
 * first three, and calls the last one as a method.
 */
export const RESERVED_KEYS: readonly string[] = [
  '__proto__',
  'constructor',
  'prototype',
  'hasOwnProperty',
];

/** Merges the overlay of a site into the base; a site without an overlay uses the base. */
export function renderSite(content: ConfigContent, site: string): JsonObject {
  const base = structuredClone(content.base);
  const overlay = Object.hasOwn(content.overlays, site) ? content.overlays[site] : undefined;
  if (overlay === undefined) return base;
  return apply(base, structuredClone(overlay) as object) as JsonObject;
}
