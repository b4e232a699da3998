/** One accepted connection of the peer port. */
import type { Socket } from 'node:net';
import {
  JSONRPCServer,
  createInvalidRequestResponse,
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import { buildError } from '../../errors.js';
import type { ControlCounters } from '../../types/interfaces.js';
import type { Logger } from '../../utils/logger.js';
import type { Dispatcher, PeerContext } from './dispatcher.js';
import { createLineStream } from './lines.js';
import {
  MAX_BAD_MESSAGES,
  MAX_LINE_BYTES,
  MAX_QUEUED_BYTES,
  MAX_RUNNING_REQUESTS,
} from './limits.js';
import { isKnownMethod } from './validation.js';
import { toWireError } from './wireErrors.js';

/** Parts that one accepted connection uses. */
export interface ServerConnectionOptions {
  readonly socket: Socket;
  readonly peer: string;
  readonly dispatcher: Dispatcher;
  readonly counters: ControlCounters;
  readonly logger: Logger;
}

function parseLine(line: string): object {
  try {
    const message: unknown = JSON.parse(line);
    return typeof message === 'object' && message !== null ? message : {};
  } catch {
    return {};
  }
}

/** Returns the name under which a message is counted; unknown names share one counter. */
function getType(method: string): string {
  return isKnownMethod(method) ? method : 'unknown';
}

/** Creates the JSON-RPC side: every method goes through the dispatcher. */
function createRpcServer({ dispatcher, logger }: ServerConnectionOptions, onBad: () => void) {
  const rpc = new JSONRPCServer<PeerContext>({ errorListener: () => {} });
  rpc.applyMiddleware(async (_next, request, context) => {
    const result = await dispatcher.dispatch(request.method, request.params, context);
    const id = request.id ?? null;
    if (result.isOk()) return { jsonrpc: '2.0', id, result: result.value };
    const { error } = result;
    if (error.kind === 'invalid' || error.kind === 'not-found') onBad();
    const { step, peer, kind, message } = error;
    const { method } = request;
    logger.debug('peer-message-refused', { step, peer, kind, method, reason: message });
    const wire = toWireError(error);
    return createJSONRPCErrorResponse(id, wire.code, wire.message, wire.data);
  });
  return rpc;
}

function formatAnswer(answer: JSONRPCResponse): string {
  const line = `${JSON.stringify(answer)}\n`;
  if (Buffer.byteLength(line) <= MAX_LINE_BYTES) return line;
  const { code, message, data } = toWireError(
    buildError('too-large', 'peer.answer', 'self', `answer exceeds ${MAX_LINE_BYTES} bytes`),
  );
  return `${JSON.stringify(createJSONRPCErrorResponse(answer.id, code, message, data))}\n`;
}

/**
 * Serves one accepted connection until it closes. A bad message is answered with an error and
 * the connection stays; after several bad ones in a row it is closed.
 */
export async function runServerConnection(options: ServerConnectionOptions): Promise<void> {
  const { socket, peer, counters, logger } = options;
  let bad = 0;
  let running = 0;
  const onBad = () => {
    bad += 1;
    if (bad < MAX_BAD_MESSAGES) return;
    const reason = `${bad} bad messages in a row`;
    logger.warn('peer-connection-closed', { step: 'peer.read', peer, reason });
    socket.destroy();
  };
  const rpc = createRpcServer(options, onBad);

  const send = (type: string, answer: JSONRPCResponse, onSent: () => void) => {
    if (socket.destroyed) {
      onSent();
      return;
    }
    const line = formatAnswer(answer);
    counters.count('sent', `${type}.answer`, Buffer.byteLength(line));
    socket.write(line, onSent);
    if (socket.writableLength <= MAX_QUEUED_BYTES) return;
    const reason = 'answers are not read';
    logger.warn('peer-connection-closed', { step: 'peer.answer', peer, reason });
    socket.destroy();
  };

  const serve = async (request: JSONRPCRequest) => {
    const listeners: (() => void)[] = [];
    const onSent = () => {
      for (const listener of listeners.splice(0)) listener();
    };
    const badBefore = bad;
    running += 1;
    if (running >= MAX_RUNNING_REQUESTS) socket.pause();
    const answer = await rpc.receive(request, {
      peer,
      onAnswered: (listener) => listeners.push(listener),
    });
    running -= 1;
    socket.resume();
    if (bad === badBefore) bad = 0;
    if (answer) send(getType(request.method), answer, onSent);
    else onSent();
  };

  const handleLine = (line: string) => {
    const message = parseLine(line);
    const isRequest = isJSONRPCRequest(message) && typeof message.method === 'string';
    const bytes = Buffer.byteLength(line) + 1;
    counters.count('received', isRequest ? getType(message.method) : 'bad', bytes);
    if (isRequest) {
      void serve(message);
      return;
    }
    onBad();
    send('bad', createInvalidRequestResponse(message), () => {});
  };

  socket.on('error', (error) =>
    logger.debug('peer-connection-failed', { step: 'peer.read', peer, reason: error.message }),
  );
  await createLineStream(socket, peer).observe(handleLine);
}
