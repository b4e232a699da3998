/**
 * Guards against requests that reach an instance long after their callers have left, since their
 * connections waited to be accepted while the event loop was turning.
 */
import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { Socket, type Server } from 'node:net';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { AcceptMonitor } from '../../src/mesh/acceptMonitor.js';
import { wait } from '../../standins/mesh/meshFleet.js';
import { withFleet } from './withFleet.js';

const CALLERS = 120;

/** Time for which each turn of the event loop is busy; far below a delay that would be noted. */
const TURN_MS = 12;

/** Time after which the callers leave. */
const PATIENCE_MS = 150;

/** Time after its caller has left from which a request must not reach an instance. */
const LATE_MS = 500;

/** Time between the first connection of a series and the start of its measurement. */
const SLACK_MS = 50;

const CALLERS_SCRIPT = `
  const { connect } = require('node:net');
  const { workerData, parentPort } = require('node:worker_threads');
  const { port, callers, patienceMs } = workerData;
  for (let index = 0; index < callers; index += 1) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.write('GET /read/1 HTTP/1.1\\r\\nHost: mesh.example\\r\\n' +
      'X-Lycheelane-Request-Attempt-Id: c-' + index + '\\r\\n' +
      'X-Lycheelane-Deadline-Ms: 9000\\r\\n\\r\\n');
    setTimeout(() => socket.destroy(), patienceMs);
  }
  setTimeout(() => parentPort.postMessage('left'), patienceMs);
`;

/** Keeps each turn of the event loop busy; returns a function that ends it. */
function occupyTurns(): () => void {
  let isEnded = false;
  const spin = () => {
    const endMs = performance.now() + TURN_MS;
    while (performance.now() < endMs);
    if (!isEnded) setImmediate(spin);
  };
  spin();
  return () => {
    isEnded = true;
  };
}

test('requests of callers that left while their connections waited do not run', async () => {
  await withFleet(async (fleet) => {
    const host = await fleet.addHost('pads');
    await fleet.waitForInstances('/read/', [host.instance.instanceId]);
    host.instance.runs.length = 0;
    const { port } = host.settings.ports.calls;
    const release = occupyTurns();
    const workerData = { port, callers: CALLERS, patienceMs: PATIENCE_MS };
    const worker = new Worker(CALLERS_SCRIPT, { eval: true, workerData });
    const leftAtMs = await new Promise<number>((resolve) => {
      worker.once('message', () => resolve(performance.now()));
    });
    await wait(CALLERS * TURN_MS + LATE_MS);
    release();
    await worker.terminate();
    const late = host.instance.runs.filter(({ atMs }) => atMs > leftAtMs + LATE_MS);
    assert.deepEqual(
      late.map(({ requestId }) => requestId),
      [],
    );
  });
});

test('a series of accepted connections tells how long the latest may have waited', async () => {
  const monitor = new AcceptMonitor();
  const server = new EventEmitter();
  monitor.observe(server as Server);
  const accept = () => {
    const socket = new Socket();
    server.emit('connection', socket);
    return socket;
  };
  assert.equal(monitor.takeWaitMs(accept()), 0);
  const startedAtMs = performance.now();
  let latest = accept();
  for (let turn = 0; turn < 5; turn += 1) {
    latest = accept();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  const endedAtMs = performance.now();
  const waitMs = monitor.takeWaitMs(latest);
  assert.ok(waitMs > 0 && waitMs <= endedAtMs - startedAtMs + SLACK_MS, String(waitMs));
  assert.equal(monitor.takeWaitMs(latest), 0);
  await wait(20);
  assert.equal(monitor.takeWaitMs(accept()), 0);
});
