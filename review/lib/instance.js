/**
 * Stand-in of an application instance: it runs requests on a number of slots, signs its responses,
 * refuses requests for other instances, and announces itself to the node of its host.
 */
import { createServer, request as sendRequest } from 'node:http';

export const HEADERS = {
  requestId: 'x-lycheelane-request-attempt-id',
  deadline: 'x-lycheelane-deadline-ms',
  target: 'x-lycheelane-target-instance',
  signature: 'x-lycheelane-response-signature',
  caller: 'x-lycheelane-caller-service',
};

export class Instance {
  /** `getWorkMs` returns the run time of a request from its path. */
  constructor({ id, service, zone, address, control, record, slots = 6, getWorkMs = () => 40 }) {
    Object.assign(this, { id, service, zone, address, control, record, slots, getWorkMs });
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.running = 0;
    /** Requests that it began to work on. */
    this.arrivals = [];
    this.isBeating = false;
    this.server = createServer((message, response) => this.serve(message, response));
    this.server.keepAliveTimeout = 10_000;
  }

  listen() {
    return new Promise((resolve) => {
      this.server.listen(this.address.port, this.address.host, resolve);
    });
  }

  close() {
    this.stopBeats();
    this.server.closeAllConnections();
    this.server.close();
  }

  serve(message, response) {
    const requestId = message.headers[HEADERS.requestId];
    const target = message.headers[HEADERS.target];
    const log = (event, fields = {}) =>
      this.record.write(event, { request: requestId, instance: this.id, ...fields });
    const refuse = (status, headers) => {
      message.resume();
      log('refused-by-instance', { status });
      response.writeHead(status, { [HEADERS.requestId]: requestId ?? '', ...headers });
      response.end();
    };
    if (requestId === undefined) {
      refuse(400, { 'x-lycheelane-not-executed': '1' });
      return;
    }
    if (target !== undefined && target !== this.id) {
      refuse(421, { 'x-lycheelane-instance-id': this.id });
      return;
    }
    let bytes = 0;
    message.on('data', (chunk) => {
      bytes += chunk.length;
    });
    message.on('end', () => {
      if (this.running >= this.slots) {
        refuse(503, { 'x-lycheelane-not-executed': '1' });
        return;
      }
      this.running += 1;
      this.arrivals.push({ requestId, atS: this.record.getTimeS() });
      log('runs', { service: this.service, method: message.method, path: message.url, bytes });
      const timer = setTimeout(() => {
        this.running -= 1;
        log('ran');
        const body = `${this.id} ${requestId}\n`;
        response.writeHead(200, {
          [HEADERS.requestId]: requestId,
          [HEADERS.signature]: `${this.id}.${requestId}`,
          'Content-Length': body.length,
        });
        response.end(body);
      }, this.getWorkMs(message.url));
      response.on('close', () => {
        if (response.writableEnded) return;
        clearTimeout(timer);
        this.running -= 1;
        log('dropped-by-instance');
      });
    });
  }

  buildBeat() {
    this.sequence += 1;
    return {
      Service: this.service,
      Address: `${this.address.host}:${this.address.port}`,
      Zone: this.zone,
      Version: 'v1',
      Capacity: this.slots,
      State: this.state,
      WarmupLeft: '0ms',
      Sequence: this.sequence,
      born: this.born,
    };
  }

  /** Sends a message to the node; resolves with the status, or 0 without an answer in a second. */
  announce(path, body) {
    const { host, port } = this.control;
    return new Promise((resolve) => {
      const text = JSON.stringify(body);
      const headers = { 'Content-Type': 'application/json', 'Content-Length': text.length };
      const sent = sendRequest({ host, port, path, method: 'POST', headers, timeout: 1000 });
      sent.on('response', (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      sent.on('timeout', () => sent.destroy());
      sent.on('error', () => resolve(0));
      sent.on('close', () => resolve(0));
      sent.end(text);
    });
  }

  sendBeat(beat = this.buildBeat()) {
    return this.announce(`/instances/${this.id}/heartbeat`, beat);
  }

  deregister() {
    return this.announce(`/instances/${this.id}/deregister`, { born: this.born });
  }

  startBeats(intervalMs = 870) {
    this.isBeating = true;
    const beat = () => {
      if (!this.isBeating) return;
      void this.sendBeat();
      this.timer = setTimeout(beat, intervalMs);
    };
    beat();
  }

  stopBeats() {
    this.isBeating = false;
    clearTimeout(this.timer);
  }
}
