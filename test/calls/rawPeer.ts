/** Fake node on a plain TCP socket, for responses that a correct HTTP server does not send. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { buildView, registerCleanup } from './fakes.js';

/** Handles a request; `index` is its zero-based position among the requests to the peer. */
export type Script = (socket: Socket, request: { requestId: string; index: number }) => void;

export function formatResponse(requestId: string, body: string, extra = '', status = 200): string {
  const head = `HTTP/1.1 ${status} X\r\ncontent-length: ${body.length}\r\n`;
  return `${head}lycheelane-request: ${requestId}\r\n${extra}\r\n${body}`;
}

/** Headers of a `notRun` answer, for `formatResponse`. */
export function formatNotRun(reason: string, extra = ''): string {
  return `lycheelane-outcome: not-run\r\nlycheelane-reason: ${reason}\r\n${extra}`;
}

/** Starts a peer that counts requests (without a body) and runs `script` for each. */
export async function startRawPeer(nodeId: string, script: Script) {
  const sockets = new Set<Socket>();
  let index = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    let text = '';
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      text += chunk.toString();
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) return;
      const requestId = /lycheelane-request: (\S+)/.exec(text)?.[1] ?? '';
      text = text.slice(end + 4);
      index += 1;
      script(socket, { requestId, index: index - 1 });
    });
  });
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as AddressInfo;
  const close = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  registerCleanup(close);
  return {
    view: buildView({ nodeId, callPort: port }),
    count: () => index,
    countConnections: () => sockets.size,
    close,
  };
}

/** Returns a port on which nothing listens. */
export async function findClosedPort(): Promise<number> {
  const peer = await startRawPeer('closed', () => {});
  peer.close();
  return peer.view.record.callPort;
}
