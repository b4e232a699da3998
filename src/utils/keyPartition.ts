/** Division of the idempotency keys of a service into key partitions. */
import type { ServiceName } from '../types/ids.js';
import { computeScore } from './rendezvous.js';

/** Number of key partitions of a service. */
export const KEY_PARTITION_COUNT = 8;

/** Returns the index of the key partition of a key. The text form of a UUID has no case. */
export function computeKeyPartition(keyText: string): number {
  return computeScore('partition', keyText.toLowerCase()) % KEY_PARTITION_COUNT;
}

/** Returns the rendezvous key by which the members of a service rank for a partition. */
export function getPartitionRankKey(service: ServiceName, partition: number): string {
  return `${service}.${partition}`;
}
