/**
 * Sends calls to the nodes beside the instances. A call whose connection breaks or stays silent is
 * taken up on a new connection under the same identifier, so that its response is not lost.
 */
import type { PeerAddress } from '../types/interfaces.js';
import { waitMs } from '../utils/backoff.js';
import { filterHeaders, getHeader } from './headers.js';
import { buildRefusal } from './instanceClient.js';
import type { Link } from './link.js';
import { LinkPool } from './linkPool.js';
import type { CallMetadata, HttpRequest, RunReport } from './model.js';
import {
  decodeResult,
  encodeTerms,
  NODE_HEADERS,
  RESULT_HEADER,
  SEEN_HEADER,
  TERMS_HEADER,
} from './peerMessages.js';
import type { SeenRevisions } from './seenRevisions.js';
import type { Cancellation } from './signal.js';

/** Several round trips between data centres of one region. */
const CONNECT_TIMEOUT_MS = 250;

/** Idle time after which a connection is not used again; it may have been lost silently. */
const MAX_IDLE_MS = 8000;

/** Silence after which a call is looked up on a second connection. */
const SILENCE_MS = 500;

/** Time within which a node that is looked up says that it is alive. */
const ALIVE_MS = 250;

/** Time after the deadline of a call for which its result is awaited. */
const DEADLINE_SLACK_MS = 150;

const EMPTY = Buffer.alloc(0);

/** What a send found out, with the process that gave the result. */
export interface PeerReport extends RunReport {
  /** False when the node did not respond at all. */
  readonly hasResponded: boolean;
}

interface SendState {
  /** Called when the node turns out not to respond, while the call is under way. */
  readonly onSilent: () => void;
  readonly request: HttpRequest;
  readonly terms: CallMetadata;
  readonly processId: string;
  readonly cancellation: Cancellation;
  readonly links: Set<Link>;
  isSettled: boolean;
}

function isAnyResponse(): boolean {
  return true;
}

function buildLost(reason: string): PeerReport {
  return { result: { kind: 'unknown', reason }, load: undefined, hasResponded: false };
}

/** Calls to one node. */
export class PeerCalls {
  private readonly pool: LinkPool;

  constructor(
    address: PeerAddress,
    private readonly seen: SeenRevisions,
  ) {
    this.pool = new LinkPool(address);
  }

  /** Sends a call to the process `processId`. Never throws. */
  send(
    request: HttpRequest,
    terms: CallMetadata,
    processId: string,
    cancellation: Cancellation,
    onSilent: () => void,
  ): Promise<PeerReport> {
    return new Promise((resolve) => {
      const state: SendState = {
        onSilent,
        request,
        terms,
        processId,
        cancellation,
        links: new Set(),
        isSettled: false,
      };
      const timers: NodeJS.Timeout[] = [];
      const settle = (report: PeerReport) => {
        if (state.isSettled) return;
        state.isSettled = true;
        for (const timer of timers) clearTimeout(timer);
        for (const link of state.links) link.abort('settled');
        resolve(report);
      };
      const leftMs = terms.deadlineAtMs - performance.now();
      const endMs = Math.max(0, leftMs) + DEADLINE_SLACK_MS;
      timers.push(setTimeout(() => settle(buildLost('deadline')), endMs));
      const lookUp = () => {
        void this.lookUp(state).then((report) => report && settle(report));
      };
      timers.push(setTimeout(lookUp, SILENCE_MS));
      cancellation.onCancel(() => settle(buildLost('cancelled')));
      void this.sendFirst(state).then(settle);
    });
  }

  close(): void {
    this.pool.close();
  }

  private async sendFirst(state: SendState): Promise<PeerReport> {
    const link = this.pool.takeIdle(MAX_IDLE_MS) ?? (await this.pool.connect(CONNECT_TIMEOUT_MS));
    if (typeof link === 'string') {
      return {
        result: buildRefusal('unreachable', false),
        load: undefined,
        hasResponded: false,
      };
    }
    if (state.isSettled) {
      this.pool.release(link);
      return buildLost('cancelled');
    }
    const first = await this.exchange(state, link, undefined);
    if (first || state.isSettled) return first ?? buildLost('settled');
    return (await this.resume(state)) ?? buildLost('connection lost');
  }

  /**
   * Looks for a call that stays silent. Its node may be busy with it, or gone: then a call that
   * may be repeated ends here, so that another instance gets it.
   */
  private async lookUp(state: SendState): Promise<PeerReport | undefined> {
    let isAlive = false;
    const resumed = this.resume(state, () => {
      isAlive = true;
      // The first connection may have gone silent, and others with it.
      this.pool.close();
    });
    await waitMs(CONNECT_TIMEOUT_MS + ALIVE_MS);
    if (isAlive || state.isSettled) return resumed;
    state.onSilent();
    return state.terms.isIdempotent ? buildLost('silent') : resumed;
  }

  /** Takes a call up on a new connection; undefined when the node cannot be reached. */
  private async resume(state: SendState, onInterim?: () => void): Promise<PeerReport | undefined> {
    const link = await this.pool.connect(CONNECT_TIMEOUT_MS);
    if (typeof link === 'string') return undefined;
    if (state.isSettled) {
      this.pool.release(link);
      return undefined;
    }
    return this.exchange(state, link, state.processId, onInterim);
  }

  private async exchange(
    state: SendState,
    link: Link,
    resume: string | undefined,
    onInterim?: () => void,
  ): Promise<PeerReport | undefined> {
    const { request, terms } = state;
    state.links.add(link);
    const encoded = encodeTerms(terms, resume, performance.now());
    const headers = [...request.headers, TERMS_HEADER, encoded];
    const seen = this.seen.take(performance.now());
    if (seen !== undefined) headers.push(SEEN_HEADER, seen);
    const body = resume === undefined ? request.body : EMPTY;
    const ended = await link.exchange({ ...request, headers, body }, isAnyResponse, onInterim);
    state.links.delete(link);
    if (ended.kind === 'broken') return undefined;
    this.pool.release(link);
    const { response } = ended;
    this.seen.apply(getHeader(response.headers, SEEN_HEADER));
    const passed = { ...response, headers: filterHeaders(response.headers, NODE_HEADERS) };
    const decoded = decodeResult(getHeader(response.headers, RESULT_HEADER), passed);
    if (!decoded) return buildLost('unreadable result of a node');
    return { result: decoded.result, load: decoded.load, hasResponded: true };
  }
}
