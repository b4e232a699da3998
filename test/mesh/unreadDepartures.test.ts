/** Callers that leave while the process of a node does not run: their end is read late. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';
import type { InstanceRun, InstanceServer } from '../../standins/mesh/instanceServer.js';
import { sendHttp, wait } from '../../standins/mesh/meshFleet.js';
import { startNodeProcess } from '../../standins/mesh/nodeProcess.js';
import {
  announceInstance,
  waitUntilReady,
  withSetup,
  type ProcessSetup,
} from './nodeProcessParts.js';

const HOST = '127.0.0.1';
const UNREAD_CALL = 'unread';
const DEADLINE_MS = 4000;
const ROUTE_TIMES = { timeoutMs: 5000, objectiveMs: 3000 };

/** Time from the departure of a caller after which its request must not reach an instance. */
const DEPARTED_MS = 700;

/** Shorter time, still above the half second within which a request may reach an instance. */
const SHORT_DEPARTED_MS = 550;

/** Moments, relative to one at which the process ran, at which it comes to a stand. */
const PHASES_MS = 600;

const PHASE_STEP_MS = 60;

/** Longest time beyond what the caller has left that an instance may be handed. */
const DEADLINE_SLACK_MS = 500;

/** Time after which a call that was not started is not started any more. */
const SETTLE_MS = 500;

const EXECUTION_MS = 300;

const TODO = { todo: 'KNOWN-RED, issue 24' };

interface Setup {
  readonly instance: InstanceServer;
  readonly callPort: number;
  /** Stops the process without an end of its clock, as a busy event loop does. */
  readonly block: () => void;
  readonly unblock: () => void;
}

async function waitUntilServed(port: number): Promise<void> {
  for (let tries = 0; tries < 200; tries += 1) {
    const { status } = await sendHttp(port, { path: '/', id: `warm-${tries}` });
    if (status === 200) return;
    await wait(30);
  }
  throw new Error('the node did not serve');
}

function withNode(kind: 'safe' | 'unsafe', run: (setup: Setup) => Promise<void>): Promise<void> {
  const runInSetup = async ({ options, instance }: ProcessSetup): Promise<void> => {
    Object.assign(instance, { executionTimeMs: EXECUTION_MS });
    const node = startNodeProcess(options);
    const [callPort = 0, , ready = 0, control = 0] = options.ports;
    try {
      await waitUntilReady(ready);
      await announceInstance(control, options.instancePort, 1);
      await waitUntilServed(callPort);
      await run({
        instance,
        callPort,
        block: () => node.process.kill('SIGSTOP'),
        unblock: () => node.process.kill('SIGCONT'),
      });
    } finally {
      node.process.kill('SIGKILL');
      await node.exited;
    }
  };
  return withSetup(runInSetup, [{ prefix: '/', service: 'pads', kind, ...ROUTE_TIMES }]);
}

function formatRequest(id: string): string {
  const headers = [
    'Host: mesh.example',
    `X-Lycheelane-Request-Attempt-Id: ${id}`,
    `X-Lycheelane-Deadline-Ms: ${DEADLINE_MS}`,
  ];
  return `GET / HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\n`;
}

async function openCaller(port: number): Promise<Socket> {
  const socket = connect({ port, host: HOST, noDelay: true });
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

function findRun({ runs }: InstanceServer, id: string): InstanceRun | undefined {
  return runs.find(({ requestId }) => requestId === id);
}

async function waitForRun(instance: InstanceServer, id: string): Promise<InstanceRun> {
  for (;;) {
    const run = findRun(instance, id);
    if (run) return run;
    await wait(10);
  }
}

test('an unread request whose caller has left is not sent, at whatever moment', async () => {
  await withNode('safe', async ({ instance, callPort, block, unblock }) => {
    const started: string[] = [];
    for (let phaseMs = 0; phaseMs < PHASES_MS; phaseMs += PHASE_STEP_MS) {
      const id = `phase-${phaseMs}`;
      const caller = await openCaller(callPort);
      await wait(SETTLE_MS + phaseMs);
      block();
      caller.write(formatRequest(id));
      await wait(50);
      caller.destroy();
      await wait(SHORT_DEPARTED_MS);
      unblock();
      await wait(SETTLE_MS);
      if (findRun(instance, id)) started.push(id);
    }
    assert.deepEqual(started, []);
  });
});

for (const kind of ['safe', 'unsafe'] as const) {
  test(`an unread ${kind} request whose caller has left is not sent to an instance`, async () => {
    await withNode(kind, async ({ instance, callPort, block, unblock }) => {
      const caller = await openCaller(callPort);
      await wait(50);
      block();
      caller.write(formatRequest(UNREAD_CALL));
      await wait(300);
      caller.destroy();
      await wait(DEPARTED_MS);
      unblock();
      await wait(SETTLE_MS);
      assert.equal(findRun(instance, UNREAD_CALL), undefined, 'the request reached the instance');
    });
  });

  test(`a queued ${kind} call is not started before the end of its caller is read`, async () => {
    await withNode(kind, async ({ instance, callPort, block, unblock }) => {
      const running = await openCaller(callPort);
      const caller = await openCaller(callPort);
      running.write(formatRequest('running'));
      await waitForRun(instance, 'running');
      caller.write(formatRequest(UNREAD_CALL));
      await wait(100);
      block();
      while (instance.runningRequests > 0) await wait(10);
      caller.destroy();
      await wait(DEPARTED_MS);
      unblock();
      await wait(SETTLE_MS);
      running.destroy();
      assert.equal(findRun(instance, UNREAD_CALL), undefined, 'the call reached the instance');
    });
  });
}

test(
  'a request that waited unread hands its instance no more time than its caller has',
  TODO,
  async () => {
    await withNode('safe', async ({ instance, callPort, block, unblock }) => {
      const caller = await openCaller(callPort);
      await wait(50);
      block();
      caller.write(formatRequest(UNREAD_CALL));
      const deadlineAtMs = performance.now() + DEADLINE_MS;
      await wait(1500);
      unblock();
      await wait(SETTLE_MS);
      caller.destroy();
      const run = findRun(instance, UNREAD_CALL);
      // A node may also refuse the request, which hands over no time.
      if (!run) return;
      const excessMs = run.atMs + run.deadlineMs - deadlineAtMs;
      assert.ok(excessMs <= DEADLINE_SLACK_MS, `${Math.round(excessMs)} ms too much`);
    });
  },
);
