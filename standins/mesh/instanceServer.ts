/** Stand-in for an application instance: the published HTTP protocol, with fault injection. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeServer, openServer } from '../http.js';
import { HEALTH_PATH } from './configuration.js';

/** Fault that an instance injects into its requests. */
export type InstanceFault =
  | { readonly kind: 'none' }
  /** Runs the request and responds with a signed failure status. */
  | { readonly kind: 'fail'; readonly status: number }
  /** Rejects the request with 503 and `X-Lycheelane-Not-Executed`. */
  | { readonly kind: 'shed' }
  /** Runs the request and resets the connection. */
  | { readonly kind: 'lose-answer' }
  /** Runs the request and never responds. */
  | { readonly kind: 'hang' }
  /** Writes `head`, then `repeated` without end, until the connection is closed. */
  | { readonly kind: 'endless'; readonly head: string; readonly repeated: string }
  /** Writes these bytes before the response, or instead of it if `isLast`. */
  | { readonly kind: 'bytes'; readonly text: string; readonly isLast: boolean }
  /** Runs the request and leaves the response to `write`. */
  | { readonly kind: 'script'; readonly write: (socket: Socket, requestId: string) => void };

/** How a cut response ends its connection. */
export type CutEnding = 'fin' | 'reset';

export const CUT_ENDINGS: readonly CutEnding[] = ['fin', 'reset'];

/** Writes the bytes that are left of a cut response and ends its connection. */
export function writeCut(socket: Socket, text: string, ending: CutEnding): void {
  if (ending === 'fin') socket.end(text, 'latin1');
  else socket.write(text, 'latin1', () => socket.resetAndDestroy());
}

/** A request that an instance ran. */
export interface InstanceRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly callerService: string | undefined;
  /** Name of the client account. */
  readonly account: string | undefined;
  /** Key of the account, which must not get here. */
  readonly key: string | undefined;
  readonly deadlineMs: number;
  /** Time of arrival on the scale of `performance.now`. */
  readonly atMs: number;
}

/** Size of one write of endless bytes. */
const ENDLESS_BLOCK_BYTES = 64 * 1024;

/** HTTP server of an instance on a loopback port. */
export class InstanceServer {
  fault: InstanceFault = { kind: 'none' };

  /** Limit that responses name, in requests per second from all hosts; undefined for none. */
  requestLimitPerS: number | string | undefined;

  /** True when responses say that the instance leaves. */
  isLeaving = false;

  /** What its health check says; undefined while it does not answer health checks. */
  health: 'good' | 'bad' | undefined = 'good';

  /** Number of health checks. */
  healthChecks = 0;

  /** Execution time of a request, in milliseconds. */
  executionTimeMs = 0;

  readonly runs: InstanceRun[] = [];

  /** Bytes that the fault `endless` has written. */
  endlessBytes = 0;

  /** Number of requests refused because they were addressed to another instance. */
  mismatchedRequests = 0;

  /** Number of requests whose connection closed before the response was sent. */
  cancelledRequests = 0;

  runningRequests = 0;

  maxRunningRequests = 0;

  private readonly server: Server = createServer((request, response) => {
    void this.handleRequest(request, response);
  });

  constructor(public instanceId: string) {}

  listen(): Promise<number> {
    return openServer(this.server, '127.0.0.1', 0);
  }

  close(): Promise<void> {
    return closeServer(this.server);
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { headers, socket } = request;
    if (request.url === HEALTH_PATH && this.health !== undefined) {
      this.healthChecks += 1;
      const isGood = this.health === 'good' && !this.isLeaving;
      const idHeader = { 'X-Lycheelane-Instance-Id': this.instanceId };
      response.writeHead(isGood ? 200 : 503, idHeader).end();
      return;
    }
    if (headers['x-lycheelane-target-instance'] !== this.instanceId) {
      this.mismatchedRequests += 1;
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
      account: headers['x-lycheelane-tenant'] as string | undefined,
      key: headers['api-key'] as string | undefined,
      deadlineMs: Number(headers['x-lycheelane-deadline-ms']),
      atMs: performance.now(),
    });
    this.runningRequests += 1;
    this.maxRunningRequests = Math.max(this.maxRunningRequests, this.runningRequests);
    const isCompleted = await this.runRequest(response);
    this.runningRequests -= 1;
    if (isCompleted) this.respond(requestId, response, socket);
  }

  /** Waits for the execution time; returns false if the connection closes before it ends. */
  private runRequest(response: ServerResponse): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(true), this.executionTimeMs);
      response.once('close', () => {
        if (response.writableFinished) return;
        this.cancelledRequests += 1;
        clearTimeout(timer);
        resolve(false);
      });
    });
  }

  private async writeEndlessly(socket: Socket, head: string, repeated: string): Promise<void> {
    socket.write(head);
    const block = Buffer.from(repeated.repeat(Math.ceil(ENDLESS_BLOCK_BYTES / repeated.length)));
    while (!socket.destroyed) {
      this.endlessBytes += block.length;
      if (!socket.write(block)) {
        await new Promise<void>((resolve) => {
          socket.once('drain', resolve);
          socket.once('close', () => resolve());
        });
      }
    }
  }

  private respond(requestId: string, response: ServerResponse, socket: Socket): void {
    const headers = {
      'X-Lycheelane-Request-Attempt-Id': requestId,
      'X-Lycheelane-Response-Signature': `signed-${this.instanceId}`,
      ...(this.requestLimitPerS === undefined ? {} : { 'Server-Limit': this.requestLimitPerS }),
      ...(this.isLeaving ? { 'Server-Leaving': '1' } : {}),
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
      case 'endless':
        void this.writeEndlessly(socket, fault.head, fault.repeated);
        return;
      case 'script':
        fault.write(socket, requestId);
        return;
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
