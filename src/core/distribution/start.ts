/** Start of the distribution tasks. */
import { ok } from 'neverthrow';
import type { ConfigNotify } from '../../generated/types.js';
import type { PeerMethods } from '../peer/dispatcher.js';
import type { DistributionContext } from './context.js';
import { handleFloor, runFloorSearch } from './floor.js';
import { notifyMembers } from './notify.js';
import { createVersionFetcher } from './versionFetcher.js';
import { publishRefusals } from './publishRefusals.js';
import { runRefusedStart } from './refusedStart.js';
import { createFetchHandler } from './serveFetch.js';
import { toTag } from './verify.js';
import { runHeadWatch } from './watchHead.js';

/** Dependencies of the distribution; the store is created by `createConfigStore`. */
export type DistributionOptions = Omit<DistributionContext, 'signal' | 'random'> & {
  readonly random?: () => number;
};

/** The running distribution of a node. */
export interface Distribution {
  /** Methods for the peer server. */
  readonly methods: PeerMethods;
  stop(): Promise<void>;
}

/** Starts the floor search and the head watch, and fetches the versions of notifications. */
export function startDistribution(options: DistributionOptions): Distribution {
  const { members, settings, store, random = Math.random } = options;
  const stopping = new AbortController();
  const context: DistributionContext = { ...options, random, signal: stopping.signal };
  const fetcher = createVersionFetcher(context);
  const isRelayMode = settings.distribution.mode === 'relay';

  if (isRelayMode) {
    members.onPingReceived(({ from, tag }) => {
      store.recordEnforced(tag);
      fetcher.recordVersion(tag, from.nodeId);
    });
    store.onInstall((tag) => notifyMembers(context, tag));
    members.onChange(({ record }) => {
      if (record.refused) fetcher.recordVersion(toTag(record.refused), record.nodeId);
    });
    publishRefusals(context);
  }
  store.onFloor((tag) => fetcher.recordVersion(tag));
  const tasks = Promise.all([
    runFloorSearch(context, fetcher),
    runHeadWatch(context, fetcher),
    runRefusedStart(context),
  ]);

  return {
    methods: {
      'config.notify': ({ from, version, digest }: ConfigNotify) => {
        const tag = toTag({ version, digest });
        store.recordEnforced(tag);
        if (isRelayMode) fetcher.recordVersion(tag, from.nodeId);
        return ok({});
      },
      'config.fetch': createFetchHandler(store, random),
      'config.floor': () => handleFloor(context),
    },
    stop: async () => {
      stopping.abort();
      await tasks;
      await fetcher.waitUntilIdle();
    },
  };
}
