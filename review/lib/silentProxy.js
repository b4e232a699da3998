/**
 * Relay of TCP connections. On `silence`, the connections that are open go silent for good, without
 * a reset: nothing is relayed on them any more, in either direction. New ones work.
 */
import { connect, createServer } from 'node:net';

export class SilentProxy {
  constructor({ target }) {
    this.target = target;
    this.pairs = new Set();
    this.server = createServer({ allowHalfOpen: true }, (client) => this.relay(client));
  }

  listen(host, port) {
    return new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
  }

  relay(client) {
    const upstream = connect({ ...this.target, noDelay: true, allowHalfOpen: true });
    client.setNoDelay(true);
    const pair = { client, upstream, isSilent: false };
    this.pairs.add(pair);
    const forward = (from, to) => {
      from.on('data', (chunk) => {
        if (!pair.isSilent) to.write(chunk);
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('error', () => {});
      from.on('close', () => {
        if (!pair.isSilent) to.destroy();
        else from.destroy();
      });
    };
    forward(client, upstream);
    forward(upstream, client);
  }

  /** Silences the open connections and returns their number. */
  silence() {
    let count = 0;
    for (const pair of this.pairs) {
      if (pair.isSilent || pair.client.destroyed) continue;
      pair.isSilent = true;
      count += 1;
    }
    return count;
  }

  close() {
    for (const { client, upstream } of this.pairs) {
      client.destroy();
      upstream.destroy();
    }
    this.server.close();
  }
}
