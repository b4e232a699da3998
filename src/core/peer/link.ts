/** Link to one peer: connection, send queue and reconnect backoff. */
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { JSONRPCClient, createJSONRPCErrorResponse, isJSONRPCResponse } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { ControlCounters, PeerAddress } from '../../types/interfaces.js';
import { computeDelayMs, waitMs } from '../../utils/backoff.js';
import type { Logger } from '../../utils/logger.js';
import { connectPeer, formatAddress } from './connect.js';
import { createLineStream } from './lines.js';
import { MAX_BAD_MESSAGES, MAX_LINE_BYTES, RECONNECT_BOUNDS } from './limits.js';
import { createSendQueue } from './sendQueue.js';
import { TIMEOUT_CODE, parseWireError } from './wireErrors.js';

/** Options shared by all links of a client. */
export interface LinkOptions {
  readonly logger: Logger;
  readonly counters: ControlCounters;
  readonly idleMs: number;
  readonly random: () => number;
}

/** Link to one peer. */
export interface PeerLink {
  request(method: string, params: object, timeoutMs: number): Promise<Result<unknown, StepError>>;
  notify(method: string, params: object): void;
  stop(): void;
}

interface SendParams {
  readonly expiresAtMs: number;
  readonly onRefused?: (error: StepError) => void;
}

/** Lifetime of a queued notification; after that, anti-entropy has repaired the loss. */
const NOTIFY_TTL_MS = 5000;

/**
 * Creates a link and starts its task: it waits for a message, connects (after a backoff if the
 * last attempt failed) and exchanges lines until the connection closes or its idle time-out
 * expires. `onIdle` is called when the queue is empty and neither a connection nor a backoff is
 * active.
 */
export function createLink(
  address: PeerAddress,
  options: LinkOptions,
  onIdle: () => void,
): PeerLink {
  const { logger, counters, idleMs, random } = options;
  const peer = formatAddress(address);
  const stopping = new AbortController();
  const queue = createSendQueue();
  const pending = new Map<number | string, string>();

  const rpc = new JSONRPCClient<SendParams>(async (payload, { expiresAtMs, onRefused }) => {
    const line = `${JSON.stringify(payload)}\n`;
    const bytes = Buffer.byteLength(line);
    const { method, id } = payload as { method: string; id?: number };
    const refuse = (kind: 'too-large' | 'busy', reason: string) => {
      const error = buildError(kind, method, peer, reason);
      onRefused?.(error);
      throw error;
    };
    if (bytes > MAX_LINE_BYTES) refuse('too-large', `message exceeds ${MAX_LINE_BYTES} bytes`);
    if (!queue.add({ type: method, line, bytes, id, expiresAtMs })) {
      refuse('busy', 'send queue is full');
    }
    if (id !== undefined) pending.set(id, method);
  });

  /** Writes queued lines, with backpressure, until the connection closes. */
  const runWriter = async (socket: Socket, signal: AbortSignal) => {
    while (!signal.aborted) {
      await queue.wait(signal);
      if (signal.aborted) return;
      const item = queue.take();
      if (!item) continue;
      counters.count('sent', item.type, item.bytes);
      if (!socket.write(item.line)) {
        // Rejects when the session ends, which also ends the loop.
        await once(socket, 'drain', { signal }).catch(() => {});
      }
    }
  };

  const handleLine = (line: string): boolean => {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      message = undefined;
    }
    const isObject = typeof message === 'object' && message !== null;
    if (!isObject || !isJSONRPCResponse(message)) return false;
    const id = message.id ?? 0;
    // Only answers that arrive after the time-out have no entry; they are counted as `late`.
    const type = pending.get(id) ?? 'late';
    pending.delete(id);
    counters.count('received', `${type}.answer`, Buffer.byteLength(line) + 1);
    rpc.receive(message);
    return true;
  };

  const runSession = async (socket: Socket) => {
    const ended = new AbortController();
    let badCount = 0;
    const finish = () => {
      ended.abort();
      socket.destroy();
    };
    socket.on('error', (error) =>
      logger.debug('peer-link-failed', { step: 'peer.write', peer, reason: error.message }),
    );
    socket.once('close', finish);
    socket.setTimeout(idleMs, finish);
    stopping.signal.addEventListener('abort', finish, { once: true });
    const reading = createLineStream(socket, peer).observe((line) => {
      badCount = handleLine(line) ? 0 : badCount + 1;
      if (badCount < MAX_BAD_MESSAGES) return;
      const reason = `${badCount} bad messages in a row`;
      logger.warn('peer-link-closed', { step: 'peer.read', peer, reason });
      finish();
    });
    const [read] = await Promise.allSettled([
      reading.finally(finish),
      runWriter(socket, ended.signal),
    ]);
    if (read.status === 'rejected') {
      logger.warn('peer-link-closed', { step: 'peer.read', peer, reason: String(read.reason) });
    }
    stopping.signal.removeEventListener('abort', finish);
  };

  const failPending = (reason: string) => {
    queue.drain();
    pending.clear();
    rpc.rejectAllPendingRequests(reason);
  };

  const run = async () => {
    const { signal } = stopping;
    let failures = 0;
    while (!signal.aborted) {
      await queue.wait(signal);
      if (signal.aborted) break;
      const socket = await connectPeer(address, signal);
      if (socket.isErr()) {
        failPending(socket.error.message);
        await waitMs(computeDelayMs(RECONNECT_BOUNDS, failures, random), signal);
        failures += 1;
      } else {
        failures = 0;
        await runSession(socket.value);
        failPending('connection lost');
      }
      // An unused link is removed together with its backoff state.
      if (queue.count() === 0) onIdle();
    }
    failPending('link closed');
  };
  void run();

  return {
    request: async (method, params, timeoutMs) => {
      const requester = rpc.timeout(timeoutMs, (id) => {
        if (id !== null) pending.delete(id);
        return createJSONRPCErrorResponse(id, TIMEOUT_CODE, `no answer in ${timeoutMs} ms`);
      });
      const expiresAtMs = Date.now() + timeoutMs;
      let refusal: StepError | undefined;
      const onRefused = (error: StepError) => {
        refusal = error;
      };
      try {
        return ok((await requester.request(method, params, { expiresAtMs, onRefused })) as unknown);
      } catch (thrown) {
        return err(refusal ?? parseWireError(thrown, method, peer));
      }
    },
    notify: (method, params) =>
      rpc.notify(method, params, { expiresAtMs: Date.now() + NOTIFY_TTL_MS }),
    stop: () => stopping.abort(),
  };
}
