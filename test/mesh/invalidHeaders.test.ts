/** Responses of instances with header lines that must not be, or are rarely, forwarded. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { writeCut } from '../../standins/mesh/instanceServer.js';
import { MeshFleet, sendToHost, type FleetResponse } from '../../standins/mesh/meshFleet.js';

const PLACES = [
  { name: 'this host', services: ['pads'] },
  { name: 'another host', services: ['guide', 'pads'] },
] as const;

/** Sends a request whose response has one more header line, and a second one after it. */
async function sendTwice(
  services: readonly string[],
  line: string,
): Promise<readonly [FleetResponse, FleetResponse]> {
  const fleet = new MeshFleet();
  await fleet.start([{ prefix: '/book/', kind: 'unsafe', timeoutMs: 10_000 }]);
  try {
    for (const service of services) await fleet.addHost(service);
    await fleet.waitForRecords();
    const entry = fleet.hosts[0]!;
    const { instance } = fleet.hosts.at(-1)!;
    instance.fault = {
      kind: 'script',
      write(socket, requestId) {
        const head =
          `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${requestId}\r\n` +
          `${HEADER_NAMES.signature}: signed\r\n${line}\r\nContent-Length: 4\r\n\r\n`;
        writeCut(socket, `${head}done`, 'fin');
      },
    };
    const first = await sendToHost(entry, { path: '/book/', id: 'h-1', deadlineMs: 10_000 });
    instance.fault = { kind: 'none' };
    const second = await sendToHost(entry, { path: '/book/', id: 'h-2', deadlineMs: 10_000 });
    return [first, second];
  } finally {
    await fleet.close();
  }
}

for (const { name, services } of PLACES) {
  for (const line of ['X-Note: a\u0001b', 'X-Note: a\u007fb', 'X(Note: a']) {
    test(`the line ${JSON.stringify(line)} of an instance on ${name} ends no node`, async () => {
      const [first, second] = await sendTwice(services, line);
      assert.equal(first.status, 502);
      assert.equal(second.status, 200);
    });
  }

  test(`a header of an instance on ${name} is forwarded with bytes above 0x7f`, async () => {
    const [first, second] = await sendTwice(services, 'X-Note: \u00e9\u008a');
    assert.equal(first.headers['x-note'], '\u00e9\u008a');
    assert.equal(first.body, 'done');
    assert.equal(second.status, 200);
  });
}
