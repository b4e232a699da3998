/** Answers the requests of other nodes for changes of the configuration. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import { NO_VERSION, type ConfigVersion } from '../types/ids.js';
import type { ConfigDelta } from './configDelta.js';
import type { ConfigHistory } from './configHistory.js';
import type { ConfigHolder } from './configHolder.js';
import { decodeDeflated, encodeDeflated } from './deflatedJson.js';
import type { KindPosition } from './kindPosition.js';
import { LongPolls } from './longPolls.js';
import type { StoreContact } from './storeContact.js';
import type { WholeConfig } from './wholeConfig.js';

/** Upper bound of the wait that another node can request. */
const MAX_WAIT_MS = 2000;

/** A request for changes, as sent in one header. */
export interface ConfigRequest {
  /** Version that is installed at the requesting node. */
  readonly version: ConfigVersion;
  /** Revision up to which that node has received all changes. */
  readonly revision: number;
  /** Era of `revision`; requests of older builds lack it. */
  readonly era?: number | undefined;
  /** True when confirmation of `version` at a later revision is a sufficient answer. */
  readonly canConfirm: boolean;
  /** Time for which the answer may wait for a change. */
  readonly waitMs: number;
  /** True when the answer may be a whole version; requests of older builds lack it. */
  readonly canBeWhole?: boolean | undefined;
  /** True when only a node that reads the store itself may answer; older builds lack it. */
  readonly mustBeCurrent?: boolean | undefined;
}

/**
 * Answer to a request. `revision` is the one up to which the answering node has all changes; except
 * for `unknown`, it is of the era of the request.
 */
export type ConfigAnswer =
  | { readonly kind: 'changed'; readonly revision: number; readonly delta: ConfigDelta }
  /** The version of the request is the latest one that is known here. */
  | { readonly kind: 'unchanged'; readonly revision: number }
  /** Its `revision` may be an earlier one, as the message is encoded once for each version. */
  | { readonly kind: 'whole'; readonly revision: number; readonly whole: WholeConfig }
  /** The history does not reach back to the version of the request. */
  | {
      readonly kind: 'unknown';
      readonly revision: number;
      /** Version that can be sent whole; undefined if there is none in the era of the request. */
      readonly version?: ConfigVersion | undefined;
      /** True when the request needs a node that reads the store, which this one does not. */
      readonly hasLostStore?: boolean | undefined;
    };

/** Encodes a request for a header. */
export function encodeConfigRequest(request: ConfigRequest): string {
  return JSON.stringify(request);
}

/** Decodes a request; undefined when the text is malformed. */
export function decodeConfigRequest(text: string): ConfigRequest | undefined {
  try {
    const request = JSON.parse(text) as Partial<ConfigRequest> | null;
    const numbers = [request?.version, request?.revision, request?.waitMs];
    return numbers.every(Number.isFinite) ? (request as ConfigRequest) : undefined;
  } catch {
    return undefined;
  }
}

/** Encodes an answer as the body of a response. A whole version is encoded once for all nodes. */
export function encodeConfigAnswer(answer: ConfigAnswer): Promise<Buffer> {
  return encodeDeflated(answer, answer.kind === 'whole' ? answer.whole : answer);
}

/** Decodes the answer of the node `peer`. */
export async function decodeConfigAnswer(
  body: Buffer,
  peer = 'peer',
): Promise<Result<ConfigAnswer, StepError>> {
  const step = 'config.decodeAnswer';
  const refuse = () => err(buildError('invalid', step, peer, 'malformed answer'));
  const decoded = await decodeDeflated(body, step, peer);
  if (decoded.isErr()) return err(decoded.error);
  const answer = decoded.value as ConfigAnswer;
  if (!Number.isSafeInteger(answer?.revision)) return refuse();
  switch (answer.kind) {
    case 'unchanged':
      return ok(answer);
    case 'unknown':
      return Number.isSafeInteger(answer.version ?? NO_VERSION) ? ok(answer) : refuse();
    case 'changed': {
      const { delta } = answer;
      const isList = Array.isArray(delta?.routes) && Array.isArray(delta.removed);
      return isList && Number.isSafeInteger(delta.revision) ? ok(answer) : refuse();
    }
    case 'whole': {
      const { whole } = answer;
      const numbers = [whole?.version, whole?.revision, whole?.routeCount];
      const isComplete = Array.isArray(whole?.routes) && numbers.every(Number.isSafeInteger);
      return isComplete ? ok(answer) : refuse();
    }
    default:
      return refuse();
  }
}

/** Parts of the node that know the configuration and its position in the store. */
export interface ConfigAnswersOptions {
  readonly holder: Pick<ConfigHolder, 'get' | 'onInstall'>;
  readonly history: Pick<ConfigHistory, 'findChanges' | 'findWhole'>;
  readonly position: Pick<KindPosition, 'getEra' | 'getSyncedRevision' | 'onSynced'>;
  readonly contact: Pick<StoreContact, 'isCurrent' | 'isPending' | 'onLost'>;
}

/** Answers requests at once, or when the awaited change arrives. */
export class ConfigAnswers {
  private readonly polls = new LongPolls<ConfigRequest>((request) => this.isDue(request));

  /** Latest answer, which most requests after a change share. */
  private shared: { readonly key: string; readonly answer: ConfigAnswer } | undefined;

  constructor(private readonly options: ConfigAnswersOptions) {
    const check = () => this.polls.scheduleCheck();
    options.holder.onInstall(check);
    options.position.onSynced(check);
    options.contact.onLost(check);
  }

  /** Resolves with the answer, at the latest after the wait of the request. */
  async answer(request: ConfigRequest): Promise<ConfigAnswer> {
    await this.polls.wait(request, Math.min(MAX_WAIT_MS, request.waitMs));
    return this.share(request);
  }

  private isDue(request: ConfigRequest): boolean {
    const { version, revision, canConfirm } = request;
    const { holder, position } = this.options;
    const isInEra = this.isInEra(request);
    const installedVersion = holder.get()?.version ?? NO_VERSION;
    if (isInEra && installedVersion > version) return true;
    if (this.isOutdated(request)) return !this.options.contact.isPending();
    if (!isInEra) return false;
    return canConfirm && installedVersion === version && position.getSyncedRevision() > revision;
  }

  /** Returns true when the request needs a node that reads the store, which this one does not. */
  private isOutdated({ mustBeCurrent }: ConfigRequest): boolean {
    return mustBeCurrent === true && !this.options.contact.isCurrent(performance.now());
  }

  /** Returns true when the store has been read here in the era of the request. */
  private isInEra({ era }: ConfigRequest): boolean {
    const { position } = this.options;
    const isSameEra = era === undefined || era === position.getEra();
    return isSameEra && position.getSyncedRevision() > 0;
  }

  /** Returns the answer, the same object for requests in the same situation. */
  private share(request: ConfigRequest): ConfigAnswer {
    const { holder, position } = this.options;
    const { version, canBeWhole } = request;
    const reached = [position.getEra(), position.getSyncedRevision(), holder.get()?.version];
    const situation = [...reached, version, canBeWhole];
    const key = `${situation.join()},${this.isOutdated(request)},${this.isInEra(request)}`;
    if (this.shared?.key !== key) this.shared = { key, answer: this.build(request) };
    return this.shared.answer;
  }

  private build(request: ConfigRequest): ConfigAnswer {
    const { version } = request;
    const { holder, history, position } = this.options;
    const revision = position.getSyncedRevision();
    if (!this.isInEra(request)) return { kind: 'unknown', revision };
    const installedVersion = holder.get()?.version ?? NO_VERSION;
    // A later version holds whoever has it; only its absence needs a node that reads the store.
    if (installedVersion <= version && this.isOutdated(request)) {
      return { kind: 'unknown', revision, hasLostStore: true };
    }
    if (installedVersion === version) return { kind: 'unchanged', revision };
    const delta = history.findChanges(version);
    if (delta) return { kind: 'changed', revision, delta };
    if (installedVersion <= version) return { kind: 'unknown', revision };
    const whole = request.canBeWhole === true ? history.findWhole() : undefined;
    if (whole) return { kind: 'whole', revision, whole };
    return { kind: 'unknown', revision, version: installedVersion };
  }
}
