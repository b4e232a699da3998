/** Connection accepted on the peer port. */
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

/** Options of an accepted connection. */
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

/** Returns the counter type of a message; all unknown methods share one counter. */
function getType(method: string): string {
  return isKnownMethod(method) ? method : 'unknown';
}

/** Creates a JSON-RPC server that passes all methods to the dispatcher. */
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
 * Serves an accepted connection until it closes. An invalid message is answered with an error. The
 * connection is closed after `MAX_BAD_MESSAGES` consecutive invalid messages.
 */
export async function runServerConnection(options: ServerConnectionOptions): Promise<void> {
  const { socket, peer, counters, logger } = options;
  let badCount = 0;
  let runningCount = 0;
  const onBad = () => {
    badCount += 1;
    if (badCount < MAX_BAD_MESSAGES) return;
    const reason = `${badCount} bad messages in a row`;
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
    const badCountBefore = badCount;
    runningCount += 1;
    if (runningCount >= MAX_RUNNING_REQUESTS) socket.pause();
    const answer = await rpc.receive(request, {
      peer,
      onAnswered: (listener) => listeners.push(listener),
    });
    runningCount -= 1;
    socket.resume();
    if (badCount === badCountBefore) badCount = 0;
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
