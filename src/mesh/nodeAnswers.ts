/** Answers the requests of other nodes for changes of the node records. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import { isName } from '../utils/boundedValues.js';
import { decodeDeflated } from './deflatedJson.js';
import type { KindPosition } from './kindPosition.js';
import { LongPolls } from './longPolls.js';
import type { NodeHistory } from './nodeHistory.js';
import type { StoreContact } from './storeContact.js';
import type { StoredObject, StoreEvent } from './store.js';

/** Upper bound of the wait that another node can request. */
const MAX_WAIT_MS = 2000;

/** A request for changes, as sent in one header. */
export interface NodesRequest {
  /** Revision up to which the requesting node has received all changes. */
  readonly revision: number;
  /** Era of `revision`. */
  readonly era: number;
  /** Time for which the answer may wait for a change. */
  readonly waitMs: number;
}

/** Answer to a request. `revision` is the one up to which the changes are complete. */
export type NodesAnswer =
  | {
      readonly kind: 'changes';
      readonly revision: number;
      readonly events: readonly StoreEvent[];
    }
  /** All records, as the history does not reach back to the revision of the request. */
  | {
      readonly kind: 'list';
      readonly revision: number;
      readonly objects: readonly StoredObject[];
    }
  /** The answering node does not read the store, or not in the era of the request. */
  | { readonly kind: 'unknown'; readonly hasLostStore?: boolean | undefined };

/** Encodes a request for a header. */
export function encodeNodesRequest(request: NodesRequest): string {
  return JSON.stringify(request);
}

/** Decodes a request; undefined when the text is malformed. */
export function decodeNodesRequest(text: string): NodesRequest | undefined {
  try {
    const request = JSON.parse(text) as Partial<NodesRequest> | null;
    const numbers = [request?.revision, request?.era, request?.waitMs];
    return numbers.every(Number.isFinite) ? (request as NodesRequest) : undefined;
  } catch {
    return undefined;
  }
}

function isStoredObject(value: unknown): value is StoredObject {
  const { name, revision } = (value ?? {}) as Partial<StoredObject>;
  return isName(name) && Number.isSafeInteger(revision);
}

function isStoreEvent(value: unknown): value is StoreEvent {
  const event = (value ?? {}) as { readonly kind?: unknown; readonly object?: unknown };
  if (event.kind === 'stored') return isStoredObject(event.object);
  return event.kind === 'removed' && isStoredObject(value);
}

/** Decodes the answer of the node `peer`. */
export async function decodeNodesAnswer(
  body: Buffer,
  peer = 'peer',
): Promise<Result<NodesAnswer, StepError>> {
  const step = 'nodes.decodeAnswer';
  const decoded = await decodeDeflated(body, step, peer);
  if (decoded.isErr()) return err(decoded.error);
  const answer = decoded.value as Partial<NodesAnswer> | null;
  const refuse = () => err(buildError('invalid', step, peer, 'malformed answer'));
  const isEach = (values: unknown, isValid: (value: unknown) => boolean) =>
    Array.isArray(values) && values.every(isValid);
  switch (answer?.kind) {
    case undefined:
      return refuse();
    case 'unknown':
      return ok({ kind: 'unknown', hasLostStore: answer.hasLostStore === true });
    case 'changes':
      return Number.isSafeInteger(answer.revision) && isEach(answer.events, isStoreEvent)
        ? ok(answer as NodesAnswer)
        : refuse();
    case 'list':
      return Number.isSafeInteger(answer.revision) && isEach(answer.objects, isStoredObject)
        ? ok(answer as NodesAnswer)
        : refuse();
    default:
      return refuse();
  }
}

/** Parts of the node that know the records and its position in the store. */
export interface NodeAnswersOptions {
  readonly history: Pick<NodeHistory, 'findChanges' | 'listObjects'>;
  readonly position: Pick<KindPosition, 'getEra' | 'getSyncedRevision' | 'onSynced'>;
  readonly contact: StoreContact;
}

/** Answers requests at once, or when the awaited change arrives. */
export class NodeAnswers {
  private readonly polls = new LongPolls<NodesRequest>((request) => this.isDue(request));

  /** Latest answer, which most requests after a change share. */
  private shared: { readonly key: string; readonly answer: NodesAnswer } | undefined;

  constructor(private readonly options: NodeAnswersOptions) {
    options.position.onSynced(() => this.polls.scheduleCheck());
    options.contact.onLost(() => this.polls.scheduleCheck());
  }

  /** Resolves with the answer, at the latest after the wait of the request. */
  async answer(request: NodesRequest): Promise<NodesAnswer> {
    await this.polls.wait(request, Math.min(MAX_WAIT_MS, request.waitMs));
    return this.build(request);
  }

  private isInEra({ era }: NodesRequest): boolean {
    return era === this.options.position.getEra();
  }

  private hasLostStore(): boolean {
    return !this.options.contact.isCurrent(performance.now());
  }

  private isDue(request: NodesRequest): boolean {
    if (!this.isInEra(request)) return true;
    if (this.hasLostStore()) return !this.options.contact.isPending();
    return this.options.history.findChanges(request.revision)?.length !== 0;
  }

  private build(request: NodesRequest): NodesAnswer {
    const { history, position } = this.options;
    if (!this.isInEra(request)) return { kind: 'unknown' };
    if (this.hasLostStore()) return { kind: 'unknown', hasLostStore: true };
    const revision = position.getSyncedRevision();
    const key = `${request.era},${request.revision},${revision}`;
    if (this.shared?.key === key) return this.shared.answer;
    const events = history.findChanges(request.revision);
    const objects = history.listObjects();
    if (!objects) return { kind: 'unknown' };
    const answer: NodesAnswer = events
      ? { kind: 'changes', revision, events }
      : { kind: 'list', revision, objects };
    this.shared = { key, answer };
    return answer;
  }
}
