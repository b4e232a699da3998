/** The object in which a node publishes itself and its instance. */
import { brandText } from '../types/ids.js';
import type { LeftInstance } from './localInstance.js';
import type { NodeRecord } from './model.js';

/** Kind of the objects in the store. */
export const NODE_KIND = 'lycheelane-nodes';

/** What a node stores: itself, and the last instance of its host that left. */
export interface PublishedNode {
  readonly record: NodeRecord;
  readonly left?: LeftInstance;
}

function hasTexts(record: Partial<NodeRecord>): boolean {
  const texts = [
    record.nodeId,
    record.incarnation,
    record.dataCentre,
    record.service,
    record.instanceId,
  ];
  return texts.every((text) => typeof text === 'string');
}

function hasNumbers({ startedAtMs, sequence, slots }: Partial<NodeRecord>): boolean {
  return [startedAtMs, sequence, slots].every((value) => Number.isFinite(value));
}

function isLeft(left: LeftInstance | undefined): boolean {
  return (
    typeof left === 'object' &&
    left !== null &&
    typeof left.instanceId === 'string' &&
    Number.isFinite(left.startedAtMs)
  );
}

/** Converts a stored value; undefined for anything that no node writes. */
export function decodePublishedNode(value: unknown): PublishedNode | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { record, left } = value as { record?: Partial<NodeRecord>; left?: LeftInstance };
  if (!record || !hasTexts(record) || !hasNumbers(record)) return undefined;
  const { address, state } = record;
  if (typeof address?.host !== 'string' || !Number.isInteger(address.port)) return undefined;
  if (state !== 'ready' && state !== 'leaving') return undefined;
  return { record: record as NodeRecord, left: isLeft(left) ? left : undefined };
}

/** Returns an instance identifier that matches nothing. */
export const NO_INSTANCE = brandText<NodeRecord['instanceId']>('');
