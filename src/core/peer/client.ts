/** Client of the peer protocol. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { ControlCounters, PeerAddress, PeerClient } from '../../types/interfaces.js';
import type { Logger } from '../../utils/logger.js';
import { formatAddress } from './connect.js';
import { IDLE_MS } from './limits.js';
import { createLink, type PeerLink } from './link.js';
import { checkAnswer } from './validation.js';

/** Options of a peer client. */
export interface PeerClientOptions {
  readonly logger: Logger;
  readonly counters: ControlCounters;
  /** Time without traffic after which a connection is closed; default 90 s. */
  readonly idleMs?: number;
  readonly random?: () => number;
}

/** Creates a client with one connection per target, which is opened for the first message. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { logger, counters, idleMs = IDLE_MS, random = Math.random } = options;
  const links = new Map<string, PeerLink>();
  let isClosed = false;

  const getLink = (address: PeerAddress): PeerLink => {
    const key = formatAddress(address);
    const existing = links.get(key);
    if (existing) return existing;
    const created = createLink(address, { logger, counters, idleMs, random }, () => {
      links.get(key)?.stop();
      links.delete(key);
    });
    links.set(key, created);
    return created;
  };

  return {
    request: async <Answer>(
      address: PeerAddress,
      method: string,
      params: object,
      timeoutMs: number,
    ): Promise<Result<Answer, StepError>> => {
      const peer = formatAddress(address);
      if (isClosed) return err(buildError('unavailable', method, peer, 'client is closed'));
      const answer = await getLink(address).request(method, params, timeoutMs);
      if (answer.isErr()) return err(answer.error);
      const checked = checkAnswer(method, answer.value, peer);
      return checked.isOk() ? ok(checked.value as Answer) : err(checked.error);
    },
    notify: (address, method, params) => {
      if (!isClosed) getLink(address).notify(method, params);
    },
    close: async () => {
      isClosed = true;
      for (const link of links.values()) link.stop();
      links.clear();
    },
  };
}
