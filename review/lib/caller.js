/** Callers of a host: requests on kept connections or on new ones, with their outcome recorded. */
import { Agent, request as sendRequest } from 'node:http';
import { randomBytes } from 'node:crypto';
import { HEADERS } from './instance.js';

/** Returns a new identifier of a request attempt. */
export function createRequestId() {
  return randomBytes(8).toString('hex');
}

/** Writes a body in pieces, no faster than the connection takes them. */
function writeBody(sent, bodyBytes) {
  const piece = Buffer.alloc(Math.min(bodyBytes, 64 * 1024), 0x61);
  let left = bodyBytes;
  const write = () => {
    while (left > 0 && !sent.destroyed) {
      const size = Math.min(left, piece.length);
      left -= size;
      const isTaken = sent.write(size === piece.length ? piece : piece.subarray(0, size));
      if (!isTaken && left > 0) {
        sent.once('drain', write);
        return;
      }
    }
    if (!sent.destroyed) sent.end();
  };
  write();
}

/** One caller with one connection of its own, which it keeps for its next requests. */
export class Caller {
  constructor({ host, port, name, record }) {
    Object.assign(this, { host, port, name, record });
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }

  /**
   * Sends a request; resolves with what the caller sees. `status` is 0 if the connection ends
   * without an answer, `isReused` tells whether it had carried a request before.
   */
  call({ method = 'GET', path, headers = {}, bodyBytes = 0, deadlineMs = 3000 }) {
    const requestId = createRequestId();
    const { host, port, agent, record, name } = this;
    const sentAtS = record.getTimeS();
    record.write('sent', { request: requestId, caller: name, method, path, bodyBytes });
    return new Promise((resolve) => {
      let outcome;
      const finish = (fields) => {
        if (outcome) return;
        outcome = { requestId, path, sentAtS, endedAtS: record.getTimeS(), ...fields };
        record.write('answered', { request: requestId, caller: name, ...fields });
        resolve(outcome);
      };
      const sent = sendRequest({
        host,
        port,
        agent,
        method,
        path,
        headers: {
          Host: 'scripts.example',
          [HEADERS.requestId]: requestId,
          [HEADERS.deadline]: String(deadlineMs),
          ...(method === 'GET' ? {} : { 'Content-Length': bodyBytes }),
          ...headers,
        },
      });
      const timer = setTimeout(() => {
        finish({ status: 0, reason: 'deadline', isReused: sent.reusedSocket });
        sent.destroy();
      }, deadlineMs + 1000);
      sent.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          clearTimeout(timer);
          const isComplete = response.complete;
          const body = Buffer.concat(chunks).toString('latin1').trim();
          const signature = response.headers[HEADERS.signature];
          const isReused = sent.reusedSocket;
          const retryAfterS = Number(response.headers['retry-after'] ?? 0);
          finish({
            status: response.statusCode,
            signature,
            body,
            isComplete,
            isReused,
            retryAfterS,
          });
        });
        response.on('error', () => {});
        response.on('close', () =>
          finish({ status: 0, reason: 'cut', isReused: sent.reusedSocket }),
        );
      });
      sent.on('error', ({ code }) => {
        clearTimeout(timer);
        finish({ status: 0, reason: code, isReused: sent.reusedSocket });
      });
      writeBody(sent, bodyBytes);
    });
  }

  close() {
    this.agent.destroy();
  }
}
