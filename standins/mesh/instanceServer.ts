/** Stand-in of an application instance: the published HTTP protocol, with the faults it names. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeServer, openServer } from '../http.js';

/** How an instance treats a request. */
export type InstanceFault =
  | { readonly kind: 'none' }
  /** Runs the request and responds with a failure of its own. */
  | { readonly kind: 'fail'; readonly status: number }
  /** Does not run the request and says so. */
  | { readonly kind: 'shed' }
  /** Runs the request and resets the connection. */
  | { readonly kind: 'lose-answer' }
  /** Runs the request and never responds. */
  | { readonly kind: 'hang' }
  /** Sends these bytes before the response, or in place of it when `isLast`. */
  | { readonly kind: 'bytes'; readonly text: string; readonly isLast: boolean };

/** A request that an instance ran. */
export interface InstanceRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly callerService: string | undefined;
  readonly deadlineMs: number;
}

/** An instance on a loopback port. */
export class InstanceServer {
  fault: InstanceFault = { kind: 'none' };

  /** Time that a run takes, in milliseconds. */
  workMs = 0;

  readonly runs: InstanceRun[] = [];

  /** Requests refused because they named another instance. */
  mismatches = 0;

  /** Requests whose connection closed before their response. */
  cancelled = 0;

  atWork = 0;

  mostAtWork = 0;

  private readonly server: Server = createServer((request, response) => {
    void this.serve(request, response);
  });

  constructor(public instanceId: string) {}

  listen(): Promise<number> {
    return openServer(this.server, '127.0.0.1', 0);
  }

  close(): Promise<void> {
    return closeServer(this.server);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { headers, socket } = request;
    if (headers['x-lycheelane-target-instance'] !== this.instanceId) {
      this.mismatches += 1;
      response.writeHead(421, { 'X-Lycheelane-Instance-Id': this.instanceId }).end();
      return;
    }
    if (this.fault.kind === 'shed') {
      response.writeHead(503, { 'X-Lycheelane-Not-Executed': '1' }).end();
      return;
    }
    const requestId = String(headers['x-lycheelane-request-attempt-id']);
    this.runs.push({
      requestId,
      method: request.method ?? '',
      path: request.url ?? '',
      body: Buffer.concat(chunks).toString(),
      callerService: headers['x-lycheelane-caller-service'] as string | undefined,
      deadlineMs: Number(headers['x-lycheelane-deadline-ms']),
    });
    this.atWork += 1;
    this.mostAtWork = Math.max(this.mostAtWork, this.atWork);
    const isAnswered = await this.work(response);
    this.atWork -= 1;
    if (isAnswered) this.answer(requestId, response, socket);
  }

  /** Works; false when the connection closed meanwhile. */
  private work(response: ServerResponse): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(true), this.workMs);
      response.once('close', () => {
        if (response.writableFinished) return;
        this.cancelled += 1;
        clearTimeout(timer);
        resolve(false);
      });
    });
  }

  private answer(requestId: string, response: ServerResponse, socket: Socket): void {
    const headers = {
      'X-Lycheelane-Request-Attempt-Id': requestId,
      'X-Lycheelane-Response-Signature': `signed-${this.instanceId}`,
    };
    const { fault } = this;
    switch (fault.kind) {
      case 'hang':
        return;
      case 'lose-answer':
        socket.resetAndDestroy();
        return;
      case 'bytes':
        socket.write(fault.text);
        if (fault.isLast) {
          socket.end();
          return;
        }
        break;
      case 'fail':
        response.writeHead(fault.status, headers).end('failed');
        return;
      case 'none':
      case 'shed':
        break;
      default:
        throw new Error(`unknown fault ${JSON.stringify(fault satisfies never)}`);
    }
    response.writeHead(200, headers).end(`${this.instanceId} ran ${requestId}`);
  }
}
