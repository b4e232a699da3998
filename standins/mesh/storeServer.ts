/** Stand-in for the platform's metadata store: its HTTP protocol, with fault injection. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { waitMs } from '../../src/utils/backoff.js';
import { closeServer, openServer } from '../http.js';
import { encodeWithRawJson } from './oddValues.js';

/** Fault that the store injects into requests. */
export type StoreFault =
  | { readonly kind: 'none' }
  /** Requests are rejected with this status and not executed. */
  | { readonly kind: 'refuse'; readonly status: 429 | 503 }
  /** Requests are neither executed nor answered. */
  | { readonly kind: 'silent' }
  | { readonly kind: 'reset' }
  /** List responses are sent in chunks at intervals, as over a low-bandwidth link. */
  | { readonly kind: 'slow-link'; readonly chunkCount: number; readonly chunkIntervalMs: number }
  /** Requests are executed and answered later. */
  | { readonly kind: 'slow'; readonly delayMs: number }
  /** Writes are executed and their responses are lost. */
  | { readonly kind: 'lose-answers' };

interface StoredObject {
  readonly name: string;
  readonly spec: unknown;
  readonly status: unknown;
  readonly revision: number;
  readonly created: number;
  /** What lists and events hold in place of the object, as another writer may leave it. */
  readonly replacement?: unknown;
}

interface StoredChange {
  readonly kind: string;
  readonly object: StoredObject;
  readonly isDeleted: boolean;
}

interface PendingWatch {
  readonly kind: string;
  readonly fromRevision: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** Objects and history of the store at one moment. */
export interface StoreCopy {
  readonly objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  readonly changes: readonly StoredChange[];
  readonly revision: number;
}

const OBJECT_PATH = /^\/objects\/([^/]+)(?:\/([^/]+)(\/status)?)?$/;

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  if (response.destroyed || response.headersSent) return;
  const text = Buffer.from(encodeWithRawJson(value));
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': text.length,
  });
  response.end(text);
}

function formatObject({
  name,
  spec,
  status,
  revision,
  created,
  replacement,
}: StoredObject): unknown {
  if (replacement !== undefined) return replacement;
  const metadata = {
    Name: name,
    Revision: revision,
    Created: created,
    Finalizers: [],
    DeletionTime: false,
  };
  return { Metadata: metadata, Spec: spec, Status: status };
}

async function sendInChunks(
  response: ServerResponse,
  value: object,
  { chunkCount, chunkIntervalMs }: Extract<StoreFault, { kind: 'slow-link' }>,
): Promise<void> {
  const bytes = Buffer.from(encodeWithRawJson(value));
  const size = Math.ceil(bytes.length / chunkCount);
  response.writeHead(200, { 'Content-Length': bytes.length });
  for (let from = 0; from < bytes.length; from += size) {
    response.write(bytes.subarray(from, from + size));
    await waitMs(chunkIntervalMs);
  }
  response.end();
}

/** In-memory metadata store. */
export class StoreServer {
  private fault: StoreFault = { kind: 'none' };

  /** Maximum number of objects on a page of a list. */
  pageSize = 500;

  /** Received requests, as `METHOD kind`. */
  readonly calls: string[] = [];

  /** Number of lists that were sent, by page. */
  listCount = 0;

  private objects = new Map<string, Map<string, StoredObject>>();

  private changes: StoredChange[] = [];

  private watches: PendingWatch[] = [];

  private revision = 1;

  private oldestWatchableRevision = 1;

  /** Number of the history; it rises whenever a copy is restored. */
  private era = 1;

  private readonly server: Server = createServer((request, response) => {
    void this.handleRequest(request, response);
  });

  /** Binds the store to a free loopback port and returns the port. */
  listen(): Promise<number> {
    return openServer(this.server, '127.0.0.1', 0);
  }

  async close(): Promise<void> {
    for (const { timer } of this.watches) clearTimeout(timer);
    await closeServer(this.server);
  }

  setFault(fault: StoreFault): void {
    this.fault = fault;
  }

  /** Creates or replaces an object without a revision check and returns its revision. */
  put(kind: string, name: string, spec: unknown): number {
    return this.storeObject(kind, name, spec).revision;
  }

  /** Stores an object in whose place lists and events hold `replacement`. */
  putReplaced(kind: string, name: string, replacement: unknown): void {
    const revision = this.revision + 1;
    const object = { name, spec: null, status: null, revision, created: 1, replacement };
    this.getObjectsOfKind(kind).set(name, object);
    this.recordChange(kind, object, false);
  }

  get(kind: string, name: string): unknown {
    return this.getObjectsOfKind(kind).get(name)?.spec;
  }

  getStatus(kind: string, name: string): unknown {
    return this.getObjectsOfKind(kind).get(name)?.status;
  }

  /** Removes an object if it exists, without a revision check. */
  removeObject(kind: string, name: string): void {
    const object = this.getObjectsOfKind(kind).get(name);
    if (!object) return;
    this.getObjectsOfKind(kind).delete(name);
    this.recordChange(kind, object, true);
  }

  /** Makes the connections of all pending watches half-open: they never receive a response. */
  stallWatches(): void {
    for (const { timer } of this.watches) clearTimeout(timer);
    this.watches = [];
  }

  /** Returns a copy of the present state. */
  copyState(): StoreCopy {
    const objects = new Map([...this.objects].map(([kind, ofKind]) => [kind, new Map(ofKind)]));
    return { objects, changes: [...this.changes], revision: this.revision };
  }

  /** Replaces the state by an older copy, as after a loss of data, and closes pending watches. */
  restoreState({ objects, changes, revision }: StoreCopy): void {
    this.objects = new Map([...objects].map(([kind, ofKind]) => [kind, new Map(ofKind)]));
    this.changes = [...changes];
    this.revision = revision;
    this.era += 1;
    this.closeWatches();
  }

  /** Compacts the change history and closes the connections of all pending watches. */
  compactHistory(): void {
    this.forgetHistory();
    this.closeWatches();
  }

  /** Compacts the change history; pending watches go on. */
  forgetHistory(): void {
    this.oldestWatchableRevision = this.revision;
  }

  private closeWatches(): void {
    for (const { response, timer } of this.watches) {
      clearTimeout(timer);
      response.destroy();
    }
    this.watches = [];
  }

  private getObjectsOfKind(kind: string): Map<string, StoredObject> {
    let objectsOfKind = this.objects.get(kind);
    if (!objectsOfKind) {
      objectsOfKind = new Map();
      this.objects.set(kind, objectsOfKind);
    }
    return objectsOfKind;
  }

  private storeObject(kind: string, name: string, spec: unknown): StoredObject {
    const known = this.getObjectsOfKind(kind).get(name);
    return this.storeChange(kind, {
      name,
      spec,
      status: known?.status ?? null,
      revision: this.revision + 1,
      created: known?.created ?? this.revision + 1,
    });
  }

  private storeChange(kind: string, object: StoredObject): StoredObject {
    this.getObjectsOfKind(kind).set(object.name, object);
    this.recordChange(kind, object, false);
    return object;
  }

  private recordChange(kind: string, object: StoredObject, isDeleted: boolean): void {
    this.revision += 1;
    this.changes.push({ kind, object: { ...object, revision: this.revision }, isDeleted });
    const pendingWatches = this.watches;
    this.watches = [];
    for (const watch of pendingWatches) {
      if (watch.kind === kind) {
        clearTimeout(watch.timer);
        this.respondToWatch(watch);
      } else {
        this.watches.push(watch);
      }
    }
  }

  private respondToWatch({ kind, fromRevision, response }: Omit<PendingWatch, 'timer'>): void {
    const events = this.changes
      .filter((change) => change.kind === kind && change.object.revision > fromRevision)
      .map(({ object, isDeleted }) => ({ Object: formatObject(object), Deleted: isDeleted }));
    sendJson(response, 200, { events, AtRev: this.revision });
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const url = new URL(request.url ?? '/', 'http://store');
    const [, kind = '', name, statusPath] = OBJECT_PATH.exec(url.pathname) ?? [];
    const method = request.method ?? 'GET';
    this.calls.push(`${method} ${kind}`);
    response.setHeader('Store-Era', this.era);
    if (this.applyFault(response)) return;
    if (this.fault.kind === 'slow') await waitMs(this.fault.delayMs);
    const body = (chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())) as {
      Metadata?: { Name?: string; Revision?: number };
      Spec?: unknown;
      Status?: unknown;
    };
    const isStatus = statusPath !== undefined;
    const deliveredResponse =
      this.fault.kind === 'lose-answers' && method !== 'GET' ? undefined : response;
    if (method === 'GET') this.handleRead(kind, name, url.searchParams, response);
    else if (isStatus) this.handleStatus(method, kind, name, body, deliveredResponse);
    else this.handleWrite(method, kind, name, body, url.searchParams, deliveredResponse);
    if (!deliveredResponse) request.socket.pause();
  }

  private applyFault(response: ServerResponse): boolean {
    switch (this.fault.kind) {
      case 'none':
      case 'slow-link':
      case 'slow':
      case 'lose-answers':
        return false;
      case 'refuse':
        sendJson(response, this.fault.status, {});
        return true;
      case 'silent':
        return true;
      case 'reset':
        response.socket?.resetAndDestroy();
        return true;
      default:
        throw new Error(`unknown fault ${JSON.stringify(this.fault satisfies never)}`);
    }
  }

  private handleRead(
    kind: string,
    name: string | undefined,
    query: URLSearchParams,
    response: ServerResponse,
  ): void {
    if (name !== undefined) {
      const object = this.getObjectsOfKind(kind).get(decodeURIComponent(name));
      if (object) sendJson(response, 200, formatObject(object));
      else sendJson(response, 404, {});
      return;
    }
    const watch = query.get('Watch');
    if (watch === null) {
      this.handleList(kind, query.get('after') ?? '', response);
      return;
    }
    const fromRevision = Number(watch);
    if (fromRevision < this.oldestWatchableRevision || fromRevision > this.revision) {
      sendJson(response, 410, {});
      return;
    }
    if (
      this.changes.some((change) => change.kind === kind && change.object.revision > fromRevision)
    ) {
      this.respondToWatch({ kind, fromRevision, response });
      return;
    }
    const timer = setTimeout(
      () => {
        this.watches = this.watches.filter((other) => other.response !== response);
        this.respondToWatch({ kind, fromRevision, response });
      },
      Number(query.get('WaitMs')),
    );
    this.watches.push({ kind, fromRevision, response, timer });
  }

  private handleList(kind: string, after: string, response: ServerResponse): void {
    this.listCount += 1;
    const names = [...this.getObjectsOfKind(kind).keys()].sort().filter((name) => name > after);
    const page = names.slice(0, this.pageSize);
    const items = page.map((name) => formatObject(this.getObjectsOfKind(kind).get(name)!));
    const list = { items, HasMore: names.length > page.length, AtRev: this.revision };
    if (this.fault.kind === 'slow-link') void sendInChunks(response, list, this.fault);
    else sendJson(response, 200, list);
  }

  private handleStatus(
    method: string,
    kind: string,
    name: string | undefined,
    body: { Metadata?: { Revision?: number }; Status?: unknown },
    response: ServerResponse | undefined,
  ): void {
    const respond = (status: number, value: unknown) =>
      response && sendJson(response, status, value);
    const existing = this.getObjectsOfKind(kind).get(decodeURIComponent(name ?? ''));
    if (method !== 'PUT') {
      respond(405, {});
    } else if (!existing) {
      respond(404, {});
    } else if (body.Metadata?.Revision !== existing.revision) {
      respond(409, formatObject(existing));
    } else {
      const changed = { ...existing, status: body.Status ?? null, revision: this.revision + 1 };
      respond(200, formatObject(this.storeChange(kind, changed)));
    }
  }

  private handleWrite(
    method: string,
    kind: string,
    name: string | undefined,
    body: { Metadata?: { Name?: string; Revision?: number }; Spec?: unknown },
    query: URLSearchParams,
    response: ServerResponse | undefined,
  ): void {
    const respond = (status: number, value: unknown) =>
      response && sendJson(response, status, value);
    const objectName = decodeURIComponent(name ?? body.Metadata?.Name ?? '');
    const existing = this.getObjectsOfKind(kind).get(objectName);
    if (method === 'POST') {
      if (existing) respond(409, formatObject(existing));
      else respond(201, formatObject(this.storeObject(kind, objectName, body.Spec)));
      return;
    }
    if (!existing) {
      respond(404, {});
      return;
    }
    const expectedRevision =
      body.Metadata?.Revision ?? Number(query.get('Revision') ?? existing.revision);
    if (expectedRevision !== existing.revision) {
      respond(409, formatObject(existing));
    } else if (method === 'DELETE') {
      this.removeObject(kind, objectName);
      respond(200, formatObject(existing));
    } else {
      const isUnchanged = JSON.stringify(existing.spec) === JSON.stringify(body.Spec);
      respond(
        200,
        formatObject(isUnchanged ? existing : this.storeObject(kind, objectName, body.Spec)),
      );
    }
  }
}
