/**
 * Stand-in of the platform's metadata store: objects by kind and name, one revision counter,
 * conditional writes, lists and watches.
 */
import { createServer } from 'node:http';

const PATH = /^\/objects\/([^/?]+)(?:\/([^/?]+))?(?:\?(.*))?$/;

function readJson(message) {
  return new Promise((resolve) => {
    const chunks = [];
    message.on('data', (chunk) => chunks.push(chunk));
    message.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      resolve(text === '' ? {} : JSON.parse(text));
    });
  });
}

export class StoreServer {
  constructor(record) {
    this.record = record;
    this.revision = 1;
    this.objects = new Map();
    this.events = [];
    this.waiting = new Set();
    /** Texts of values that are sent as they were written, by the placeholder in their object. */
    this.texts = new Map();
    this.isRejecting = false;
    this.server = createServer((message, response) => {
      void this.serve(message, response);
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** While rejecting, the store answers all calls with 503: nothing was done. */
  setRejecting(isRejecting) {
    this.isRejecting = isRejecting;
  }

  listen(host, port) {
    return new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  getObject(kind, name) {
    return this.objects.get(kind)?.get(name);
  }

  /** Writes an object as the operator does; the result is the acknowledgement. */
  putObject(kind, name, spec) {
    const known = this.getObject(kind, name);
    return known ? this.replace(kind, known, { Spec: spec }) : this.create(kind, name, spec);
  }

  /** Writes an object whose value is given as JSON text and is sent as it is. */
  putText(kind, name, text) {
    const placeholder = `@@${kind}/${name}@@`;
    this.texts.set(placeholder, text);
    return this.putObject(kind, name, placeholder);
  }

  encode(body) {
    let encoded = JSON.stringify(body);
    for (const [placeholder, text] of this.texts) {
      encoded = encoded.replaceAll(JSON.stringify(placeholder), text);
    }
    return encoded;
  }

  create(kind, name, spec) {
    this.revision += 1;
    const object = {
      Metadata: {
        Name: name,
        Revision: this.revision,
        Created: this.revision,
        Finalizers: [],
        DeletionTime: false,
      },
      Spec: spec,
      Status: null,
    };
    this.apply(kind, object, false);
    return object;
  }

  replace(kind, known, changes) {
    this.revision += 1;
    const object = {
      ...known,
      ...changes,
      Metadata: { ...known.Metadata, Revision: this.revision },
    };
    this.apply(kind, object, false);
    return object;
  }

  apply(kind, object, isDeleted) {
    const ofKind = this.objects.get(kind) ?? new Map();
    this.objects.set(kind, ofKind);
    if (isDeleted) ofKind.delete(object.Metadata.Name);
    else ofKind.set(object.Metadata.Name, object);
    this.events.push({
      kind,
      revision: this.revision,
      event: { Deleted: isDeleted, Object: object },
    });
    for (const watch of [...this.waiting]) watch.check();
  }

  async serve(message, response) {
    const answer = (status, body) => {
      if (response.writableEnded) return;
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(this.encode(body));
    };
    const match = PATH.exec(message.url);
    const body = await readJson(message);
    if (this.isRejecting) {
      answer(503, {});
      return;
    }
    if (!match) {
      answer(404, {});
      return;
    }
    const [, kind, encodedName, queryText = ''] = match;
    const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
    const query = new URLSearchParams(queryText);
    if (message.method === 'GET' && query.has('Watch')) this.watch(kind, query, response, answer);
    else if (message.method === 'GET') this.read(kind, name, query, answer);
    else this.change(message.method, kind, name, query, body, answer);
  }

  read(kind, name, query, answer) {
    const ofKind = this.objects.get(kind) ?? new Map();
    if (name === undefined) {
      const after = query.get('after') ?? '';
      const items = [...ofKind.values()].filter(({ Metadata }) => Metadata.Name > after);
      answer(200, { items, HasMore: false, AtRev: this.revision });
      return;
    }
    const object = ofKind.get(name);
    answer(object ? 200 : 404, object ?? {});
  }

  watch(kind, query, response, answer) {
    const from = Number(query.get('Watch'));
    const watch = {};
    const end = (events) => {
      clearTimeout(watch.timer);
      this.waiting.delete(watch);
      answer(200, { events, AtRev: this.revision });
    };
    watch.check = () => {
      const events = this.events
        .filter((entry) => entry.kind === kind && entry.revision > from)
        .map(({ event }) => event);
      if (events.length > 0) end(events);
    };
    watch.timer = setTimeout(() => end([]), Number(query.get('WaitMs') ?? 0));
    this.waiting.add(watch);
    response.on('close', () => {
      clearTimeout(watch.timer);
      this.waiting.delete(watch);
    });
    watch.check();
  }

  change(method, kind, name, query, body, answer) {
    const objectName = name ?? body.Metadata?.Name;
    const known = this.getObject(kind, objectName);
    if (method === 'POST') {
      answer(known ? 409 : 200, known ?? this.create(kind, objectName, body.Spec));
      return;
    }
    if (!known) {
      answer(404, {});
      return;
    }
    const condition = body.Metadata?.Revision ?? query.get('Revision');
    if (condition !== undefined && condition !== null) {
      if (Number(condition) !== known.Metadata.Revision) {
        answer(409, known);
        return;
      }
    }
    if (method === 'DELETE') {
      this.revision += 1;
      this.apply(kind, known, true);
      answer(200, known);
      return;
    }
    const isUnchanged = JSON.stringify(known.Spec) === JSON.stringify(body.Spec);
    answer(200, isUnchanged ? known : this.replace(kind, known, { Spec: body.Spec }));
  }

  /** Returns how many watches wait for a change. */
  countWatches() {
    return this.waiting.size;
  }
}
