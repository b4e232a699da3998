/** A node stand-in on a bare TCP socket, for answers that a correct HTTP server does not give. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { MemberView } from '../../src/types/interfaces.js';
import { buildView, onEnd } from './fakes.js';

export interface RawRequest {
  readonly requestId: string;
  /** Position among all requests that this peer received, from 0. */
  readonly index: number;
}

export type Script = (socket: Socket, request: RawRequest) => void;

export interface RawPeer {
  readonly view: MemberView;
  /** Requests whose head arrived, on all connections. */
  count(): number;
  countConnections(): number;
  close(): void;
}

export function formatResponse(requestId: string, body: string, extra = '', status = 200): string {
  const head = `HTTP/1.1 ${status} X\r\ncontent-length: ${body.length}\r\n`;
  return `${head}lycheelane-request: ${requestId}\r\n${extra}\r\n${body}`;
}

/** Headers of a `notRun` answer, for `formatResponse`. */
export function formatNotRun(reason: string, extra = ''): string {
  return `lycheelane-outcome: not-run\r\nlycheelane-reason: ${reason}\r\n${extra}`;
}

/** Starts a peer that runs `script` for each request (without a body) that it receives. */
export async function startRawPeer(nodeId: string, script: Script): Promise<RawPeer> {
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
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const close = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  onEnd(close);
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
