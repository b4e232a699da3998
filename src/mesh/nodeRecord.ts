/** The stored object in which a node publishes itself and its local instance. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../errors.js';
import { brandText, type SoftwareVersion } from '../types/ids.js';
import {
  isAmount,
  isCount,
  isHeaderText,
  isIpAddress,
  isName,
  isStartTime,
  MAX_LINK_MBPS,
  MAX_SLOTS,
} from '../utils/boundedValues.js';
import { hasHeartbeat, type DepartedInstance, type LocalInstance } from './localInstance.js';
import type { MeshSettings, NodeRecord } from './model.js';

/** Kind of these objects in the store. */
export const NODE_KIND = 'lycheelane-nodes';

const STEP = 'record.decode';

/** Settings that a node publishes. */
export type PublishedSettings = Pick<
  MeshSettings,
  'nodeId' | 'dataCentre' | 'service' | 'linkMbps' | 'rollout'
> & {
  readonly ports: Pick<MeshSettings['ports'], 'peers'>;
};

/** A node's own record and the last instance of its host that departed, as stored. */
export interface PublishedNode {
  readonly record: NodeRecord;
  readonly left?: DepartedInstance;
}

function requireField<Value>(
  isValid: (value: unknown) => value is Value,
  value: unknown,
  name: string,
): Value {
  if (!isValid(value)) throw buildError('invalid', STEP, 'store', `${name} is not usable`);
  return value;
}

function requireOptional<Value>(
  isValid: (value: unknown) => value is Value,
  value: unknown,
  name: string,
): Value | undefined {
  return value === undefined ? undefined : requireField(isValid, value, name);
}

function isSlotCount(value: unknown): value is number {
  return isCount(value, MAX_SLOTS);
}

function isLinkMbps(value: unknown): value is number {
  return isAmount(value, MAX_LINK_MBPS);
}

function isNodeState(value: unknown): value is NodeRecord['state'] {
  return value === 'ready' || value === 'leaving';
}

function decodeDepartedInstance(left: unknown): DepartedInstance | undefined {
  const { instanceId, startedAtMs, sequence } = (left ?? {}) as Partial<DepartedInstance>;
  if (!isHeaderText(instanceId) || !isStartTime(startedAtMs) || !isCount(sequence)) {
    return undefined;
  }
  return { instanceId, startedAtMs, sequence };
}

function decodeVersion(version: unknown): SoftwareVersion | undefined {
  const text = requireOptional(isName, version, 'version');
  return text === undefined ? undefined : brandText<SoftwareVersion>(text);
}

function decodeRecord(record: Partial<NodeRecord>): NodeRecord {
  const address = requireField(isIpAddress, record.address, 'address');
  return {
    nodeId: brandText(requireField(isName, record.nodeId, 'nodeId')),
    incarnation: requireField(isHeaderText, record.incarnation, 'incarnation'),
    dataCentre: brandText(requireField(isName, record.dataCentre, 'dataCentre')),
    address: { host: address.host, port: address.port },
    service: brandText(requireField(isName, record.service, 'service')),
    instanceId: brandText(requireField(isHeaderText, record.instanceId, 'instanceId')),
    startedAtMs: requireOptional(isStartTime, record.startedAtMs, 'startedAtMs'),
    slots: requireField(isSlotCount, record.slots, 'slots'),
    state: requireField(isNodeState, record.state, 'state'),
    linkMbps: requireOptional(isLinkMbps, record.linkMbps, 'linkMbps'),
    version: decodeVersion(record.version),
  };
}

/**
 * Decodes the stored value of the object `name`. The result has the known fields only, in the order
 * of `buildPublishedNode`, so that both can be compared as text.
 */
export function decodePublishedNode(
  name: string,
  value: unknown,
): Result<PublishedNode, StepError> {
  const { record, left } = (value ?? {}) as { record?: Partial<NodeRecord>; left?: unknown };
  try {
    const decoded = decodeRecord(record ?? {});
    if (decoded.nodeId !== name) {
      return err(buildError('invalid', STEP, name, `names node ${decoded.nodeId}`));
    }
    const departed = decodeDepartedInstance(left);
    return ok(departed ? { record: decoded, left: departed } : { record: decoded });
  } catch (thrown) {
    return err(toStepError(thrown, STEP, name));
  }
}

/** Returns the fields that are stored: the latest heartbeat of the instance has more. */
function omitHeartbeatFields(departed: DepartedInstance): DepartedInstance {
  const { instanceId, startedAtMs, sequence } = departed;
  return { instanceId, startedAtMs, sequence };
}

/**
 * Builds the object to store, or undefined while no instance is known, or none that is verified.
 * The departed instance stays in the store when the process ends, since the next process needs it
 * to reject late heartbeats.
 */
export function buildPublishedNode(
  instance: LocalInstance,
  { nodeId, dataCentre, ports, service, linkMbps, rollout }: PublishedSettings,
  incarnation: string,
  isStopping: boolean,
): PublishedNode | undefined {
  const state = instance.getState();
  if (state.kind === 'unverified') return undefined;
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
    version: rollout && heartbeat?.version,
  };
  return departedInstance ? { record, left: omitHeartbeatFields(departedInstance) } : { record };
}
