/** Gets changes of the configuration from other nodes instead of whole versions from the store. */
import type { StepError } from '../errors.js';
import { waitMs as wait } from '../utils/backoff.js';
import { NO_VERSION } from '../types/ids.js';
import { findBestReply, type ReplyRank } from './bestReply.js';
import type { ConfigAnswer, ConfigRequest } from './configAnswers.js';
import type { ConfigHolder } from './configHolder.js';
import type { EventLog } from './eventLog.js';
import type { KindPosition } from './kindPosition.js';
import type { PeerCalls } from './peerCalls.js';
import type { Cancellation } from './signal.js';
import type { FirstPosition } from './watchKind.js';

/** Time for which a source may wait for a change before it answers. */
const SOURCE_WAIT_MS = 600;

/** Time for which a followed source may wait for a change. */
const FOLLOW_WAIT_MS = 2000;

/** Pause between two requests, so that changes in quick succession share an answer. */
const COALESCE_MS = 150;

/** Time for which a starting node waits for the list of the nodes. */
const NODES_WAIT_MS = 400;

/** Time for which a starting node waits for a source that has a version. */
const START_WAIT_MS = 400;

/** Interval at which a starting node checks for nodes, and asks sources that are starting too. */
const START_INTERVAL_MS = 50;

/** A node that answers requests for changes. */
export type ConfigSource = Pick<PeerCalls, 'requestConfig'>;

/** Options of the fetcher. */
export interface ConfigFetcherOptions {
  readonly holder: Pick<ConfigHolder, 'get' | 'installDelta' | 'installWhole'>;
  readonly position: Pick<KindPosition, 'getEra'>;
  readonly log: EventLog;
  /** Returns the nodes to ask; empty when this node reads from the store. */
  readonly listSources: () => readonly ConfigSource[];
  /** Returns the nodes to ask for the first version; undefined while no nodes are known. */
  readonly listStartSources: () => readonly ConfigSource[] | undefined;
}

/** Answer of a source, undefined if it gave none. */
interface Reply {
  readonly source: ConfigSource;
  readonly answer: ConfigAnswer | undefined;
}

/** Answer of a source that can send its version whole. */
type Offer = Extract<ConfigAnswer, { kind: 'unknown' }>;

function isLaterOffer(offer: Offer, held: ConfigAnswer | undefined): boolean {
  if (held?.kind !== 'unknown') return true;
  const [version, heldVersion] = [offer.version ?? NO_VERSION, held.version ?? NO_VERSION];
  return version > heldVersion || (version === heldVersion && offer.revision > held.revision);
}

function rankAnswer(
  answer: ConfigAnswer | undefined,
  held: ConfigAnswer | undefined,
  { version, revision, canConfirm }: ConfigRequest,
): ReplyRank {
  switch (answer?.kind) {
    case undefined:
      return 'useless';
    case 'changed':
    case 'whole':
      return 'best';
    case 'unchanged':
      return canConfirm && answer.revision > revision ? 'best' : 'useless';
    case 'unknown': {
      const isOffer = (answer.version ?? NO_VERSION) > version;
      return isOffer && isLaterOffer(answer, held) ? 'better' : 'useless';
    }
    default:
      throw new Error(`unknown answer ${JSON.stringify(answer satisfies never)}`);
  }
}

export class ConfigFetcher {
  constructor(private readonly options: ConfigFetcherOptions) {}

  /**
   * Installs the changes after `revision` and keeps asking until there are none for a while.
   * Returns the revision up to which this node has all changes; undefined when the store has to be
   * read. `canConfirm` tells whether the absence of a change is an acceptable answer. Never
   * rejects.
   */
  async fetch(revision: number, canConfirm: boolean): Promise<number | undefined> {
    if (!this.options.holder.get()) return undefined;
    let answer = await this.request(revision, canConfirm);
    if (answer?.kind === 'unchanged') return answer.revision;
    let reached: number | undefined;
    while (answer && this.install(answer)) {
      reached = answer.revision;
      await wait(COALESCE_MS);
      answer = await this.request(reached, false);
    }
    return reached;
  }

  /**
   * Installs the first version, for a node that has none, and returns the position that it
   * reached; undefined when the store has to be read. Sources that have no version yet are awaited
   * for a short time. Later changes are left to the store, since the source may be behind. Never
   * rejects.
   */
  async fetchFirst(): Promise<FirstPosition | undefined> {
    const { position, listStartSources } = this.options;
    const endsAtMs = performance.now() + NODES_WAIT_MS;
    while (!listStartSources() && performance.now() < endsAtMs) await wait(START_INTERVAL_MS);
    const era = position.getEra();
    const answer = await this.requestFirst();
    if (!answer || era !== position.getEra() || !this.install(answer)) return undefined;
    return { revision: answer.revision, era };
  }

  /**
   * Waits at a source that reads the store for the changes after `revision`, and installs them.
   * Returns the revision that was reached; `store-lost` when the source does not read the store,
   * undefined when it has no usable answer. Never rejects.
   */
  async follow(
    source: ConfigSource,
    revision: number,
    cancellation: Cancellation,
  ): Promise<number | 'store-lost' | undefined> {
    const { holder, position } = this.options;
    const version = holder.get()?.version;
    if (version === undefined) return undefined;
    const era = position.getEra();
    const conditions = { canConfirm: true, mustBeCurrent: true, waitMs: FOLLOW_WAIT_MS };
    const request = { version, revision, era, ...conditions };
    const first = await this.send(source, request, cancellation);
    if (first?.kind === 'unknown' && first.hasLostStore === true) return 'store-lost';
    const isOffer = first?.kind === 'unknown' && (first.version ?? NO_VERSION) > version;
    const answer = isOffer ? await this.requestWhole(source, request, first) : first;
    if (!answer || era !== position.getEra()) return undefined;
    const hasReached = answer.kind === 'unchanged' || this.install(answer);
    return hasReached ? Math.max(revision, answer.revision) : undefined;
  }

  private install(answer: ConfigAnswer): boolean {
    const { holder } = this.options;
    switch (answer.kind) {
      case 'changed':
        return holder.installDelta(answer.delta);
      case 'whole':
        return holder.installWhole(answer.whole);
      case 'unchanged':
      case 'unknown':
        return false;
      default:
        throw new Error(`unknown answer ${JSON.stringify(answer satisfies never)}`);
    }
  }

  private request(revision: number, canConfirm: boolean): Promise<ConfigAnswer | undefined> {
    const { holder, listSources } = this.options;
    const version = holder.get()?.version ?? NO_VERSION;
    const request = { version, revision, canConfirm, waitMs: SOURCE_WAIT_MS };
    return this.requestBest(listSources(), request);
  }

  private async requestFirst(): Promise<ConfigAnswer | undefined> {
    const endsAtMs = performance.now() + START_WAIT_MS;
    for (;;) {
      const sources = this.options.listStartSources() ?? [];
      const waitMs = Math.floor(endsAtMs - performance.now());
      if (sources.length === 0 || waitMs <= 0) return undefined;
      const request = { version: NO_VERSION, revision: 0, canConfirm: false, waitMs };
      const answer = await this.requestBest(sources, request, waitMs);
      if (answer) return answer;
      await wait(START_INTERVAL_MS);
    }
  }

  /**
   * Returns the best answer of the sources. A whole version is requested from one source only, once
   * it is known which of them can send it, since two would use the link twice.
   */
  private async requestBest(
    sources: readonly ConfigSource[],
    request: ConfigRequest,
    limitMs?: number,
  ): Promise<ConfigAnswer | undefined> {
    const { position } = this.options;
    const era = position.getEra();
    const sent = { ...request, era };
    const replies = sources.map(async (source): Promise<Reply> => ({
      source,
      answer: await this.send(source, sent),
    }));
    const rankReply = (reply: Reply, held: Reply | undefined) =>
      rankAnswer(reply.answer, held?.answer, request);
    const best = await findBestReply(replies, rankReply, limitMs);
    const answer =
      best?.answer?.kind === 'unknown'
        ? await this.requestWhole(best.source, sent, best.answer)
        : best?.answer;
    return era === position.getEra() ? answer : undefined;
  }

  private async requestWhole(
    source: ConfigSource,
    request: ConfigRequest,
    offer: Offer,
  ): Promise<ConfigAnswer | undefined> {
    const answer = await this.send(source, { ...request, waitMs: 0, canBeWhole: true });
    if (answer?.kind !== 'whole') return answer?.kind === 'changed' ? answer : undefined;
    // The message is encoded once, so that the source may have read further since then.
    const revision = answer.whole.version === offer.version ? offer.revision : answer.revision;
    return { ...answer, revision };
  }

  private send(
    source: ConfigSource,
    request: ConfigRequest,
    cancellation?: Cancellation,
  ): Promise<ConfigAnswer | undefined> {
    const logInvalid = ({ step, peer, message }: StepError) =>
      this.options.log.write('warn', 'config-answer-invalid', { step, peer, reason: message });
    return source.requestConfig(request, logInvalid, cancellation);
  }
}
