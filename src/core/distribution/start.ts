/** Starts the tasks of the distribution. */
import { ok } from 'neverthrow';
import type { ConfigNotify } from '../../generated/types.js';
import type { PeerMethods } from '../peer/dispatcher.js';
import type { DistributionContext } from './context.js';
import { handleFloor, runFloorSearch } from './floor.js';
import { notifyMembers } from './notify.js';
import { createSeeker } from './obtain.js';
import { publishRefusals } from './publishRefusals.js';
import { runRefusedStart } from './refusedStart.js';
import { createFetchHandler } from './serveFetch.js';
import { toTag } from './verify.js';
import { runHeadWatch } from './watchHead.js';

/** Parts that the distribution uses; the store comes from `createConfigStore`. */
export type DistributionOptions = Omit<DistributionContext, 'signal' | 'random'> & {
  readonly random?: () => number;
};

/** The running distribution of a node. */
export interface Distribution {
  /** Methods for the peer server. */
  readonly methods: PeerMethods;
  stop(): Promise<void>;
}

/** Starts the floor search and the head watch, and connects notifications with fetches. */
export function startDistribution(options: DistributionOptions): Distribution {
  const { members, settings, store, random = Math.random } = options;
  const stopping = new AbortController();
  const context: DistributionContext = { ...options, random, signal: stopping.signal };
  const seeker = createSeeker(context);
  const isRelayMode = settings.distribution.mode === 'relay';

  if (isRelayMode) {
    members.onPingReceived(({ from, tag }) => {
      store.recordEnforced(tag);
      seeker.recordHeard(tag, from.nodeId);
    });
    store.onInstall((tag) => notifyMembers(context, tag));
    members.onChange(({ record }) => {
      if (record.refused) seeker.recordHeard(toTag(record.refused), record.nodeId);
    });
    publishRefusals(context);
  }
  store.onFloor((tag) => seeker.recordHeard(tag));
  const tasks = Promise.all([
    runFloorSearch(context, seeker),
    runHeadWatch(context, seeker),
    runRefusedStart(context),
  ]);

  return {
    methods: {
      'config.notify': ({ from, version, digest }: ConfigNotify) => {
        const tag = toTag({ version, digest });
        store.recordEnforced(tag);
        if (isRelayMode) seeker.recordHeard(tag, from.nodeId);
        return ok({});
      },
      'config.fetch': createFetchHandler(store, random),
      'config.floor': () => handleFloor(context),
    },
    stop: async () => {
      stopping.abort();
      await tasks;
      await seeker.idle();
    },
  };
}
