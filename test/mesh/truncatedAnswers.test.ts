/** What callers receive when the response of an instance is cut at any of its bytes. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import type { FleetRoute } from '../../standins/mesh/configuration.js';
import {
  CUT_ENDINGS,
  writeCut,
  type CutEnding,
  type InstanceFault,
} from '../../standins/mesh/instanceServer.js';
import { MeshFleet, sendToHost, wait, type FleetHost } from '../../standins/mesh/meshFleet.js';

const ROUTES: readonly FleetRoute[] = [
  { prefix: '/read/', kind: 'safe', timeoutMs: 10_000 },
  { prefix: '/book/', kind: 'unsafe', timeoutMs: 10_000 },
];

const DEADLINE_MS = 10_000;
const BODY = 'the whole body';

function buildHead(id: string, framing: string): string {
  return (
    `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${id}\r\n` +
    `${HEADER_NAMES.signature}: signed\r\n${framing}\r\n\r\n`
  );
}

const SHAPES = [
  {
    name: 'with a length',
    build: (id: string) => buildHead(id, `Content-Length: ${BODY.length}`) + BODY,
  },
  {
    name: 'in chunks',
    build: (id: string) =>
      `${buildHead(id, 'Transfer-Encoding: chunked')}a\r\nthe whole \r\n4\r\nbody\r\n0\r\n\r\n`,
  },
] as const;

function buildCut(text: string, ending: CutEnding): InstanceFault {
  return { kind: 'script', write: (socket) => writeCut(socket, text, ending) };
}

async function withHosts(
  services: readonly string[],
  run: (hosts: readonly FleetHost[]) => Promise<void>,
  dataCentres: readonly string[] = [],
): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start(ROUTES);
  try {
    for (const [index, service] of services.entries()) {
      await fleet.addHost(service, dataCentres[index]);
    }
    await fleet.waitForRecords();
    // Until a response says that the instance names no limit, requests to it are spaced.
    for (const host of fleet.hosts) await sendToHost(host, { path: '/read/', id: 'first' });
    await run(fleet.hosts);
  } finally {
    await fleet.close();
  }
}

const PATHS = [
  { name: 'this host', services: ['pads'] },
  { name: 'another host', services: ['guide', 'pads'] },
] as const;

for (const { name: place, services } of PATHS) {
  for (const { name, build } of SHAPES) {
    test(`a response ${name} on ${place} that is cut at any byte ends as 502`, async () => {
      await withHosts(services, async (hosts) => {
        const entry = hosts[0]!;
        const { instance } = hosts.at(-1)!;
        for (const ending of CUT_ENDINGS) {
          const wholeLength = build('').length;
          for (let length = 0; length < wholeLength; length += 1) {
            const id = `${ending}-${length}`;
            instance.fault = buildCut(build(id).slice(0, -(wholeLength - length)), ending);
            const request = { path: '/book/', id, method: 'POST', deadlineMs: DEADLINE_MS };
            const { status, headers, body } = await sendToHost(entry, request);
            assert.equal(status, 502, id);
            assert.equal(headers['x-lycheelane-response-signature'], undefined, id);
            assert.equal(body, '', id);
          }
        }
      });
    });
  }
}

test('a safe request whose first response is cut gets a whole response or 502', async (t) => {
  const run = async (hosts: readonly FleetHost[]) => {
    // Disables exploration, which could skip the instance in the own data centre.
    t.mock.method(Math, 'random', () => 0.5);
    const [cut, sound] = hosts as [FleetHost, FleetHost];
    const counts = { whole: 0, failed: 0 };
    const text = SHAPES[0].build('s');
    for (let length = 0; length < text.length; length += 1) {
      const id = `s-${length}`;
      const ending = CUT_ENDINGS[length % 2]!;
      cut.instance.fault = buildCut(SHAPES[0].build(id).slice(0, length - text.length), ending);
      const request = { path: '/read/', id, deadlineMs: DEADLINE_MS };
      const { status, body } = await sendToHost(cut, request);
      if (status === 200) assert.equal(body, `${sound.instance.instanceId} ran ${id}`);
      else assert.equal(status, 502, id);
      counts[status === 200 ? 'whole' : 'failed'] += 1;
    }
    assert.ok(cut.instance.runs.length > 0);
    assert.ok(counts.whole > 0, JSON.stringify(counts));
  };
  await withHosts(['pads', 'pads'], run, ['a', 'b']);
});

test('pipelined requests keep their order when the response to the first is cut', async () => {
  await withHosts(['pads'], async ([host]) => {
    const { instance, settings } = host!;
    const whole = SHAPES[0].build('p-1');
    for (const ending of CUT_ENDINGS) {
      for (let length = 0; length < whole.length; length += 7) {
        instance.fault = {
          kind: 'script',
          write(socket, requestId) {
            const response = SHAPES[0]
              .build(requestId)
              .replace(BODY, requestId.padEnd(BODY.length));
            if (requestId !== 'p-1') {
              socket.write(response, 'latin1');
              return;
            }
            writeCut(socket, response.slice(0, length), ending);
          },
        };
        const caller = connect(settings.ports.calls.port, '127.0.0.1');
        let text = '';
        caller.on('data', (chunk) => {
          text += String(chunk);
        });
        const ids = ['p-1', 'p-2', 'p-3'];
        const requests = ids.map(
          (id) =>
            'POST /book/ HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 0\r\n' +
            `${HEADER_NAMES.requestId}: ${id}\r\n\r\n`,
        );
        caller.write(requests.join(''));
        while ((text.match(/HTTP\/1\.1 \d{3}/g) ?? []).length < ids.length) await wait(2);
        while (!text.endsWith('p-3'.padEnd(BODY.length))) await wait(2);
        caller.destroy();
        const statuses = [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map((match) => match[1]);
        assert.deepEqual(statuses, ['502', '200', '200'], `${length} bytes, then ${ending}`);
        const echoed = [...text.matchAll(/attempt-id: (p-\d)/gi)].map((match) => match[1]);
        assert.deepEqual(echoed, ids);
      }
    }
  });
});
