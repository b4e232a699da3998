/** Serves `config.fetch`. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { ConfigFetch, ConfigFetchAnswer } from '../../generated/types.js';
import type { PeerContext } from '../peer/dispatcher.js';
import { diffBundles } from './delta.js';
import type { DistributionStore } from './store.js';

/** Answers with content that are on their way at a time. */
const MAX_RUNNING_FETCHES = 8;
/** Delay asked of a refused requester: twice the time that eight answers usually take. */
const BUSY_DELAY_MS = 100;

/** Runs `config.fetch` on the answering side. */
export type FetchHandler = (
  params: ConfigFetch,
  context: PeerContext,
) => Result<ConfigFetchAnswer, StepError>;

/** Creates the handler. An answer keeps its place until it has left this process. */
export function createFetchHandler(
  store: DistributionStore,
  random: () => number = Math.random,
): FetchHandler {
  let running = 0;
  let differences = new Map<string, ConfigFetchAnswer>();
  store.onInstall(() => {
    differences = new Map();
  });

  const buildAnswer = (haveDigest: string): ConfigFetchAnswer | undefined => {
    const bundle = store.getBundle();
    if (!bundle) return undefined;
    const held = store.held.findDigest(haveDigest);
    if (!held) return { kind: 'whole', bundle: { ...bundle } };
    const known = differences.get(haveDigest);
    if (known) return known;
    const answer = diffBundles(held, bundle);
    differences.set(haveDigest, answer);
    return answer;
  };

  return ({ haveVersion, haveDigest }, context) => {
    const { version } = store.getTag();
    if (haveVersion >= version && version > 0) return ok({ kind: 'same' });
    if (running >= MAX_RUNNING_FETCHES) {
      return ok({ kind: 'busy', retryAfterMs: Math.ceil(BUSY_DELAY_MS * (0.5 + random())) });
    }
    const answer = buildAnswer(haveDigest);
    if (!answer) {
      return err(buildError('not-found', 'config.fetch', 'self', 'no version is installed'));
    }
    running += 1;
    context.onAnswered(() => {
      running -= 1;
    });
    return ok(answer);
  };
}
