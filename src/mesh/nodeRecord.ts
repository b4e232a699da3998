/** The stored object in which a node publishes itself and its local instance. */
import { hasHeartbeat, type DepartedInstance, type LocalInstance } from './localInstance.js';
import type { MeshSettings, NodeRecord } from './model.js';

/** Kind of these objects in the store. */
export const NODE_KIND = 'lycheelane-nodes';

/** Settings that a node publishes. */
export type PublishedSettings = Pick<
  MeshSettings,
  'nodeId' | 'dataCentre' | 'service' | 'linkMbps'
> & {
  readonly ports: Pick<MeshSettings['ports'], 'peers'>;
};

/** A node's own record and the last instance of its host that departed, as stored. */
export interface PublishedNode {
  readonly record: NodeRecord;
  readonly left?: DepartedInstance;
}

function hasStringFields(record: Partial<NodeRecord>): boolean {
  const texts = [
    record.nodeId,
    record.incarnation,
    record.dataCentre,
    record.service,
    record.instanceId,
  ];
  return texts.every((text) => typeof text === 'string');
}

function isDepartedInstance(left: DepartedInstance | undefined): boolean {
  return (
    typeof left === 'object' &&
    left !== null &&
    typeof left.instanceId === 'string' &&
    Number.isFinite(left.startedAtMs)
  );
}

/** Decodes a stored value; returns undefined if it is not a valid published node. */
export function decodePublishedNode(value: unknown): PublishedNode | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { record, left } = value as { record?: Partial<NodeRecord>; left?: DepartedInstance };
  if (!record || !hasStringFields(record) || !Number.isFinite(record.slots)) return undefined;
  const { address, state, linkMbps = 0 } = record;
  if (!Number.isFinite(linkMbps)) return undefined;
  if (typeof address?.host !== 'string' || !Number.isInteger(address.port)) return undefined;
  if (state !== 'ready' && state !== 'leaving') return undefined;
  return { record: record as NodeRecord, left: isDepartedInstance(left) ? left : undefined };
}

/**
 * Builds the object to store, or undefined while no instance is known. The departed instance stays
 * in the store when the process ends, since the next process needs it to reject late heartbeats.
 */
export function buildPublishedNode(
  instance: LocalInstance,
  { nodeId, dataCentre, ports, service, linkMbps }: PublishedSettings,
  incarnation: string,
  isStopping: boolean,
): PublishedNode | undefined {
  const state = instance.getState();
  const departedInstance = instance.getDepartedInstance();
  const heartbeat = hasHeartbeat(state) ? state.heartbeat : undefined;
  const departed = state.kind === 'departed' ? state : departedInstance;
  const instanceId = heartbeat?.instanceId ?? departed?.instanceId;
  if (instanceId === undefined) return undefined;
  const record: NodeRecord = {
    nodeId,
    incarnation,
    dataCentre,
    address: ports.peers,
    service: heartbeat?.service ?? service,
    instanceId,
    startedAtMs: heartbeat?.startedAtMs ?? departedInstance?.startedAtMs,
    slots: heartbeat?.slots ?? 0,
    state: state.kind === 'ready' && !isStopping ? 'ready' : 'leaving',
    linkMbps,
  };
  return departedInstance ? { record, left: departedInstance } : { record };
}
