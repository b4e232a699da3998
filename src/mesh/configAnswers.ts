/** Answers the requests of other nodes for changes of the configuration. */
import { promisify } from 'node:util';
import { deflateRaw, inflateRaw, type InputType, type ZlibOptions } from 'node:zlib';
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../errors.js';
import { NO_VERSION, type ConfigVersion } from '../types/ids.js';
import type { ConfigDelta } from './configDelta.js';
import type { ConfigHistory } from './configHistory.js';
import type { ConfigHolder } from './configHolder.js';
import type { KindPosition } from './kindPosition.js';
import type { WholeConfig } from './wholeConfig.js';

/** Upper bound of the wait that another node can request. */
const MAX_WAIT_MS = 2000;

const deflate = promisify<InputType, Buffer>(deflateRaw);
const inflate = promisify<InputType, ZlibOptions, Buffer>(inflateRaw);

/** Limit on the decoded size of an answer, in bytes. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

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

/** Messages with whole versions, each encoded once for all nodes that request it. */
const encodedWholes = new WeakMap<WholeConfig, Promise<Buffer>>();

/** Encodes an answer as the body of a response: deflated JSON, since routes resemble each other. */
export function encodeConfigAnswer(answer: ConfigAnswer): Promise<Buffer> {
  if (answer.kind !== 'whole') return deflate(JSON.stringify(answer));
  const known = encodedWholes.get(answer.whole);
  if (known) return known;
  const encoded = deflate(JSON.stringify(answer));
  encodedWholes.set(answer.whole, encoded);
  return encoded;
}

/** Decodes the answer of the node `peer`. */
export async function decodeConfigAnswer(
  body: Buffer,
  peer = 'peer',
): Promise<Result<ConfigAnswer, StepError>> {
  const step = 'config.decodeAnswer';
  const refuse = () => err(buildError('invalid', step, peer, 'malformed answer'));
  let answer: ConfigAnswer;
  try {
    const json = await inflate(body, { maxOutputLength: MAX_ANSWER_BYTES });
    answer = JSON.parse(json.toString('utf8')) as ConfigAnswer;
  } catch (thrown) {
    return err(toStepError(thrown, step, peer));
  }
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
}

/** A request whose answer is not due yet. */
interface Waiting {
  readonly request: ConfigRequest;
  readonly resolve: () => void;
}

/** Answers requests at once, or when the awaited change arrives. */
export class ConfigAnswers {
  private readonly waiting = new Set<Waiting>();

  constructor(private readonly options: ConfigAnswersOptions) {
    options.holder.onInstall(() => this.checkWaiting());
    options.position.onSynced(() => this.checkWaiting());
  }

  /** Resolves with the answer, at the latest after the wait of the request. */
  async answer(request: ConfigRequest): Promise<ConfigAnswer> {
    if (!this.isDue(request)) await this.waitUntilDue(request);
    return this.build(request);
  }

  private waitUntilDue(request: ConfigRequest): Promise<void> {
    return new Promise((resolve) => {
      const waiting: Waiting = { request, resolve };
      this.waiting.add(waiting);
      setTimeout(() => this.end(waiting), Math.min(MAX_WAIT_MS, request.waitMs));
    });
  }

  private end(waiting: Waiting): void {
    this.waiting.delete(waiting);
    waiting.resolve();
  }

  private isDue(request: ConfigRequest): boolean {
    const { version, revision, canConfirm } = request;
    const { holder, position } = this.options;
    if (!this.isInEra(request)) return false;
    const installedVersion = holder.get()?.version ?? 0;
    if (installedVersion > version) return true;
    return canConfirm && installedVersion === version && position.getSyncedRevision() > revision;
  }

  /** Returns true when the store has been read here in the era of the request. */
  private isInEra({ era }: ConfigRequest): boolean {
    const { position } = this.options;
    const isSameEra = era === undefined || era === position.getEra();
    return isSameEra && position.getSyncedRevision() > 0;
  }

  private build(request: ConfigRequest): ConfigAnswer {
    const { version } = request;
    const { holder, history, position } = this.options;
    const revision = position.getSyncedRevision();
    if (!this.isInEra(request)) return { kind: 'unknown', revision };
    if (holder.get()?.version === version) return { kind: 'unchanged', revision };
    const delta = history.findChanges(version);
    if (delta) return { kind: 'changed', revision, delta };
    const installedVersion = holder.get()?.version ?? NO_VERSION;
    if (installedVersion <= version) return { kind: 'unknown', revision };
    const whole = request.canBeWhole === true ? history.findWhole() : undefined;
    if (whole) return { kind: 'whole', revision, whole };
    return { kind: 'unknown', revision, version: installedVersion };
  }

  private checkWaiting(): void {
    for (const waiting of [...this.waiting]) {
      if (this.isDue(waiting.request)) this.end(waiting);
    }
  }
}
