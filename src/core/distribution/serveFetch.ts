/** Handler of `config.fetch`. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, ConfigFetch, ConfigFetchAnswer } from '../../generated/types.js';
import type { PeerContext } from '../peer/dispatcher.js';
import { diffBundles } from './delta.js';
import type { DistributionStore } from './store.js';

/** Maximum number of answers with content that are being sent at the same time. */
const MAX_RUNNING_FETCHES = 8;
/** Mean retry delay of a busy answer: twice the usual duration of eight answers. */
const MEAN_RETRY_DELAY_MS = 100;
/** The delay is jittered between 50% and 150%. */
const MIN_JITTER_FACTOR = 0.5;

/** Handles a `config.fetch` request. */
export type FetchHandler = (
  params: ConfigFetch,
  context: PeerContext,
) => Result<ConfigFetchAnswer, StepError>;

/** Creates the handler. An answer counts as running until it has been sent. */
export function createFetchHandler(
  store: DistributionStore,
  random: () => number = Math.random,
): FetchHandler {
  let runningFetches = 0;
  let deltas = new Map<string, ConfigFetchAnswer>();
  const clearDeltas = () => {
    deltas = new Map();
  };
  store.onInstall(clearDeltas);
  store.onRefuse(clearDeltas);

  const buildAnswer = (haveDigest: string, bundle: Bundle): ConfigFetchAnswer => {
    const baseBundle = store.recentBundles.findDigest(haveDigest);
    if (!baseBundle) return { kind: 'whole', bundle: { ...bundle } };
    const key = `${haveDigest} ${bundle.digest}`;
    const cached = deltas.get(key);
    if (cached) return cached;
    const answer = diffBundles(baseBundle, bundle);
    deltas.set(key, answer);
    return answer;
  };

  /** Returns the refused bundle if the requester asks for it, to check it as well. */
  const findRefused = (wantDigest: string | undefined): Bundle | undefined => {
    const bundle = store.getRefusedBundle();
    return bundle?.digest === wantDigest ? bundle : undefined;
  };

  return ({ haveVersion, haveDigest, wantDigest }, context) => {
    const { version } = store.getTag();
    const refused = findRefused(wantDigest);
    if (!refused && haveVersion >= version && version > 0) return ok({ kind: 'same' });
    if (runningFetches >= MAX_RUNNING_FETCHES) {
      return ok({
        kind: 'busy',
        retryAfterMs: Math.ceil(MEAN_RETRY_DELAY_MS * (MIN_JITTER_FACTOR + random())),
      });
    }
    const bundle = refused ?? store.getBundle();
    if (!bundle) {
      return err(buildError('not-found', 'config.fetch', 'self', 'no version is installed'));
    }
    runningFetches += 1;
    context.onAnswered(() => {
      runningFetches -= 1;
    });
    return ok(buildAnswer(haveDigest, bundle));
  };
}
