/** The object in which a node publishes itself and its instance. */
import { isHeard, type LeftInstance, type LocalInstance } from './localInstance.js';
import type { MeshSettings, NodeRecord } from './model.js';

/** Kind of the objects in the store. */
export const NODE_KIND = 'lycheelane-nodes';

/** The settings that a node publishes. */
export type PublishedSettings = Pick<MeshSettings, 'nodeId' | 'dataCentre' | 'service'> & {
  readonly ports: Pick<MeshSettings['ports'], 'peers'>;
};

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
  if (!record || !hasTexts(record) || !Number.isFinite(record.slots)) return undefined;
  const { address, state } = record;
  if (typeof address?.host !== 'string' || !Number.isInteger(address.port)) return undefined;
  if (state !== 'ready' && state !== 'leaving') return undefined;
  return { record: record as NodeRecord, left: isLeft(left) ? left : undefined };
}

/**
 * Builds what this process should store: nothing before its instance was heard of. The instance
 * that left stays on record when the process ends: the next one must know it.
 */
export function buildPublishedNode(
  instance: LocalInstance,
  { nodeId, dataCentre, ports, service }: PublishedSettings,
  incarnation: string,
  isStopping: boolean,
): PublishedNode | undefined {
  const state = instance.getState();
  const left = instance.getLeft();
  const heartbeat = isHeard(state) ? state.heartbeat : undefined;
  const gone = state.kind === 'gone' ? state : left;
  const instanceId = heartbeat?.instanceId ?? gone?.instanceId;
  if (instanceId === undefined) return undefined;
  const record: NodeRecord = {
    nodeId,
    incarnation,
    dataCentre,
    address: ports.peers,
    service: heartbeat?.service ?? service,
    instanceId,
    slots: heartbeat?.slots ?? 0,
    state: state.kind === 'ready' && !isStopping ? 'ready' : 'leaving',
  };
  return left ? { record, left } : { record };
}
