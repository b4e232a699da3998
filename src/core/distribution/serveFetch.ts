/** Serves `config.fetch`. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, ConfigFetch, ConfigFetchAnswer } from '../../generated/types.js';
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
  const evictDifferences = () => {
    differences = new Map();
  };
  store.onInstall(evictDifferences);
  store.onRefuse(evictDifferences);

  const buildAnswer = (haveDigest: string, bundle: Bundle): ConfigFetchAnswer => {
    const held = store.held.findDigest(haveDigest);
    if (!held) return { kind: 'whole', bundle: { ...bundle } };
    const key = `${haveDigest} ${bundle.digest}`;
    const known = differences.get(key);
    if (known) return known;
    const answer = diffBundles(held, bundle);
    differences.set(key, answer);
    return answer;
  };

  /** The refused bundle for those that ask for it, so that they judge it too. */
  const findRefused = (wantDigest: string | undefined): Bundle | undefined => {
    const bundle = store.getRefusedBundle();
    return bundle?.digest === wantDigest ? bundle : undefined;
  };

  return ({ haveVersion, haveDigest, wantDigest }, context) => {
    const { version } = store.getTag();
    const refused = findRefused(wantDigest);
    if (!refused && haveVersion >= version && version > 0) return ok({ kind: 'same' });
    if (running >= MAX_RUNNING_FETCHES) {
      return ok({ kind: 'busy', retryAfterMs: Math.ceil(BUSY_DELAY_MS * (0.5 + random())) });
    }
    const bundle = refused ?? store.getBundle();
    if (!bundle) {
      return err(buildError('not-found', 'config.fetch', 'self', 'no version is installed'));
    }
    running += 1;
    context.onAnswered(() => {
      running -= 1;
    });
    return ok(buildAnswer(haveDigest, bundle));
  };
}
