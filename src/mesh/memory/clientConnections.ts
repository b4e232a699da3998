/**
 * Bounds what the connections of clients make this process hold: their number, the heads and
 * requests on them, and responses that are not read. A connection that exceeds a bound, or whose
 * body or response makes no progress, is closed. Design: docs/design/memory.md
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionReader } from '../reading/connectionReader.js';
import type { ReadScheduler } from '../reading/readScheduler.js';
import type { Holding } from './holding.js';
import type { MemoryAccount } from './memoryAccount.js';

/** Memory of a connection with its parser, and of a request with its response, in bytes. */
const CONNECTION_BYTES = 12 * 1024;
const REQUEST_BYTES = 8 * 1024;

/** Memory that a byte of a head takes at the most; short header lines take the most for each. */
const HEAD_FACTOR = 8;

/** Largest head that the parser of a port reads, in bytes. */
export const MAX_HEAD_BYTES = 128 * 1024;

/** Interval at which progress is checked and the heads being read are counted. */
const CHECK_INTERVAL_MS = 250;

/** Size of the parts in which a response is written, which shows how far a client has read. */
const PART_BYTES = 64 * 1024;

/** Share of the connections beyond which those without a request yet are closed first. */
const NEW_SHARE = 0.25;

/** Why a connection was closed. */
export type CloseReason = 'memory' | 'connections' | 'pipelining' | 'stalled-body' | 'unread';

export interface ClientLimits {
  /** Maximum number of connections at the same time. */
  readonly maxConnections: number;
  /** Maximum number of requests on one connection that have no response yet. */
  readonly maxRequests: number;
  /** Time without progress after which the connection of a body or an unread response is closed. */
  readonly stallMs: number;
}

interface Client {
  readonly socket: Socket;
  readonly holding: Holding;
  /** Requests whose responses have not left this process. */
  requests: number;
  /** Heads of these requests and their responses, as far as they are held, in bytes. */
  heldBytes: number;
  /** Bytes that were received and wait to be read, in bytes. */
  bufferedBytes: number;
  /** Bytes of the connection when its latest request ended. */
  idleAtBytes: number;
  /** Latest request, whose body may still be arriving. */
  message: IncomingMessage | undefined;
  /** Bytes received at the last check. */
  readBytes: number;
  /** Responses of which a part waits until the client reads. */
  unread: number;
  /** Parts of responses that were handed to the connection, and responses that have ended. */
  sentParts: number;
  /** `sentParts` at the last check. */
  checkedParts: number;
  /** Checks in a row without progress. */
  stalledReads: number;
  stalledWrites: number;
}

/** Counts what a head holds once it was read: its text and the strings made of it. */
function estimateHeadBytes({ rawHeaders }: IncomingMessage): number {
  let bytes = REQUEST_BYTES + rawHeaders.length * 40;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

function isReadingBody({ message }: Client): boolean {
  return message !== undefined && !message.complete;
}

function updateHolding({ holding, heldBytes, bufferedBytes }: Client, headBytes = 0): void {
  holding.set(CONNECTION_BYTES + heldBytes + bufferedBytes + headBytes * HEAD_FACTOR);
}

function addHeldBytes(client: Client, addedBytes: number): void {
  const holder = client;
  holder.heldBytes += addedBytes;
  updateHolding(holder);
}

function setBufferedBytes(client: Client, bytes: number): void {
  const holder = client;
  holder.bufferedBytes = bytes;
  updateHolding(holder);
}

/** Counts the head that is being read, which has no events before it is complete. */
function countHead(client: Client): void {
  const { readBytes, bufferedBytes, idleAtBytes } = client;
  const headBytes = Math.min(MAX_HEAD_BYTES, readBytes - bufferedBytes - idleAtBytes);
  updateHolding(client, Math.max(0, headBytes));
}

/** Counts a response until the client has taken it. */
function trackResponse(client: Client, response: ServerResponse, bytes: number): void {
  const holder = client;
  holder.unread += 1;
  addHeldBytes(client, bytes);
  response.once('close', () => {
    holder.unread -= 1;
    // The last part has no callback of its own.
    holder.sentParts += 1;
    addHeldBytes(client, -bytes);
  });
}

/** Connections of one server, in the memory account and within their own limits. */
export class ClientConnections {
  private readonly clients = new Map<Socket, Client>();

  /** Connections without a request now that had one before, the longest idle one first. */
  private readonly idle = new Set<Client>();

  /** Connections that have not sent a request yet, the oldest first. */
  private readonly untried = new Set<Client>();

  constructor(
    private readonly account: MemoryAccount,
    private readonly limits: ClientLimits,
    private readonly onClose: (reason: CloseReason) => void = () => {},
    /** Decides when connections are read; undefined where their server reads them at once. */
    private readonly scheduler?: ReadScheduler,
  ) {}

  /** Observes the connections of a server until it closes. */
  observe(server: Server): void {
    server.on('connection', (socket: Socket) => this.add(socket));
    const timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    timer.unref();
    server.once('close', () => clearInterval(timer));
  }

  /** Records a request; returns false if it must not be served, since its connection is closed. */
  admit(message: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = message;
    const client = this.clients.get(socket);
    if (!client || socket.destroyed) return false;
    if (client.requests >= this.limits.maxRequests) {
      this.close(client, 'pipelining');
      return false;
    }
    this.idle.delete(client);
    this.untried.delete(client);
    client.requests += 1;
    client.message = message;
    client.stalledReads = 0;
    const headBytes = estimateHeadBytes(message);
    addHeldBytes(client, headBytes);
    response.once('close', () => {
      client.requests -= 1;
      addHeldBytes(client, -headBytes);
      if (client.requests > 0 || !this.clients.has(socket)) return;
      client.idleAtBytes = socket.bytesRead - client.bufferedBytes;
      if (message.complete) client.message = undefined;
      this.idle.add(client);
    });
    return !socket.destroyed;
  }

  /** Writes the body of a response and ends it; it is held until the client has taken it. */
  send(response: ServerResponse, body: Buffer): void {
    const client = this.clients.get(response.req.socket);
    if (!client || body.length <= PART_BYTES) {
      response.end(body);
      if (client && response.writableLength > 0) trackResponse(client, response, body.length);
      return;
    }
    trackResponse(client, response, body.length);
    this.sendPart(client, response, body, 0);
  }

  private sendPart(client: Client, response: ServerResponse, body: Buffer, from: number): void {
    const counted = client;
    counted.sentParts += 1;
    const to = from + PART_BYTES;
    if (to >= body.length) response.end(body.subarray(from));
    else {
      response.write(body.subarray(from, to), (error) => {
        if (!error && !response.destroyed) this.sendPart(client, response, body, to);
      });
    }
  }

  private add(socket: Socket): void {
    const client: Client = {
      socket,
      holding: this.account.open('connection', () => this.close(client, 'memory')),
      requests: 0,
      heldBytes: 0,
      bufferedBytes: 0,
      idleAtBytes: 0,
      message: undefined,
      readBytes: 0,
      unread: 0,
      sentParts: 0,
      checkedParts: 0,
      stalledReads: 0,
      stalledWrites: 0,
    };
    this.clients.set(socket, client);
    this.untried.add(client);
    socket.once('close', () => this.remove(client));
    updateHolding(client);
    this.startReading(client);
    if (this.clients.size > this.limits.maxConnections) this.closeOldest();
  }

  private startReading(client: Client): void {
    const { scheduler } = this;
    if (!scheduler) return;
    const onBuffered = (bytes: number) => setBufferedBytes(client, bytes);
    new ConnectionReader(client.socket, scheduler, onBuffered).start();
  }

  private remove(client: Client): void {
    this.clients.delete(client.socket);
    this.idle.delete(client);
    this.untried.delete(client);
    client.holding.release();
  }

  private close(client: Client, reason: CloseReason): void {
    if (!this.clients.has(client.socket)) return;
    this.onClose(reason);
    this.remove(client);
    client.socket.destroy();
  }

  /** Closes the connection that has been idle, or new if many are, for the longest time. */
  private closeOldest(): void {
    const areNewMany = this.untried.size > this.limits.maxConnections * NEW_SHARE;
    const sets = areNewMany ? [this.untried, this.idle] : [this.idle, this.untried];
    const [first, second] = sets.map((set) => set.values().next().value);
    const oldest = first ?? second;
    if (oldest) this.close(oldest, 'connections');
  }

  private check(): void {
    const maxStalled = Math.ceil(this.limits.stallMs / CHECK_INTERVAL_MS);
    for (const client of [...this.clients.values()]) this.checkClient(client, maxStalled);
  }

  /** Counts checks, not time: after a suspension of the process, bytes have to be read first. */
  private checkClient(checked: Client, maxStalled: number): void {
    const client = checked;
    const { bytesRead } = client.socket;
    // What waits to be read here has arrived: its client is not late.
    const hasRead = bytesRead !== client.readBytes || client.bufferedBytes > 0;
    client.readBytes = bytesRead;
    client.stalledReads = isReadingBody(client) && !hasRead ? client.stalledReads + 1 : 0;
    const hasSent = client.sentParts !== client.checkedParts;
    client.checkedParts = client.sentParts;
    // A response that waits behind another one has not been written to the connection.
    const isWriting = client.unread > 0 && client.socket.writableLength > 0;
    client.stalledWrites = isWriting && !hasSent ? client.stalledWrites + 1 : 0;
    if (client.stalledReads > maxStalled) this.close(client, 'stalled-body');
    else if (client.stalledWrites > maxStalled) this.close(client, 'unread');
    else if (isReadingBody(client)) client.idleAtBytes = bytesRead - client.bufferedBytes;
    else if (client.requests === 0) countHead(client);
  }
}
