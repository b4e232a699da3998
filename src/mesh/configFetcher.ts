/** Gets changes of the configuration from other nodes instead of whole versions from the store. */
import { waitMs as wait } from '../utils/backoff.js';
import type { ConfigAnswer, ConfigRequest } from './configAnswers.js';
import type { ConfigHolder } from './configHolder.js';
import type { EventLog } from './eventLog.js';
import type { KindPosition } from './kindPosition.js';
import type { PeerCalls } from './peerCalls.js';

/** Time for which a source may wait for a change before it answers. */
const SOURCE_WAIT_MS = 600;

/** Pause between two requests, so that changes in quick succession share an answer. */
const COALESCE_MS = 150;

/** A node that answers requests for changes. */
export type ConfigSource = Pick<PeerCalls, 'requestConfig'>;

/** Options of the fetcher. */
export interface ConfigFetcherOptions {
  readonly holder: Pick<ConfigHolder, 'get' | 'installDelta'>;
  readonly position: Pick<KindPosition, 'getEra'>;
  readonly log: EventLog;
  /** Returns the nodes to ask; empty when this node reads from the store. */
  readonly listSources: () => readonly ConfigSource[];
}

/** Returns the first answer that is useful, or undefined when there is none. */
async function findFirst(
  answers: readonly Promise<ConfigAnswer | undefined>[],
  isUseful: (answer: ConfigAnswer) => boolean,
): Promise<ConfigAnswer | undefined> {
  return new Promise((resolve) => {
    let open = answers.length;
    const handle = (answer: ConfigAnswer | undefined) => {
      open -= 1;
      if (answer && isUseful(answer)) resolve(answer);
      else if (open === 0) resolve(undefined);
    };
    for (const answer of answers) void answer.then(handle);
    if (open === 0) resolve(undefined);
  });
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
    let answer = await this.request(revision, canConfirm);
    if (answer?.kind === 'unchanged') return answer.revision;
    let reached: number | undefined;
    while (answer?.kind === 'changed' && this.options.holder.installDelta(answer.delta)) {
      reached = answer.revision;
      await wait(COALESCE_MS);
      answer = await this.request(reached, false);
    }
    return reached;
  }

  private async request(revision: number, canConfirm: boolean): Promise<ConfigAnswer | undefined> {
    const { holder, position } = this.options;
    const version = holder.get()?.version;
    if (version === undefined) return undefined;
    const era = position.getEra();
    const request: ConfigRequest = { version, revision, era, canConfirm, waitMs: SOURCE_WAIT_MS };
    const answers = this.options.listSources().map((source) => this.send(source, request));
    const answer = await findFirst(answers, ({ kind, revision: synced }) => {
      if (kind === 'unchanged') return canConfirm && synced > revision;
      return kind === 'changed';
    });
    return era === position.getEra() ? answer : undefined;
  }

  private send(source: ConfigSource, request: ConfigRequest): Promise<ConfigAnswer | undefined> {
    return source.requestConfig(request, ({ step, peer, message }) =>
      this.options.log.write('warn', 'config-answer-invalid', { step, peer, reason: message }),
    );
  }
}
