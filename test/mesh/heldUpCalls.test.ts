/** Calls between nodes that are held up on their way, and whose callers leave meanwhile. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import type { CallMetadata } from '../../src/mesh/model.js';
import { PeerCalls, type PeerReport } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { HeldLink, type HeldLinkOptions } from '../../standins/mesh/heldLink.js';
import { InstanceServer, type InstanceRun } from '../../standins/mesh/instanceServer.js';
import { wait } from '../../standins/mesh/meshFleet.js';
import { startNodeProcess } from '../../standins/mesh/nodeProcess.js';
import { createRunner, NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';
import {
  announceInstance,
  waitUntilReady,
  withSetup,
  type ProcessSetup,
} from './nodeProcessParts.js';

const HOST = '127.0.0.1';
const INSTANCE_ID = 'i-1';
const PROCESS_ID = 'p-1';
const HELD_CALL = 'held';

/** Time for which a call is held up. */
const HELD_MS = 1500;

/** Time for which another run keeps a call in the queue. */
const BUSY_MS = 900;

/** Time from the departure of a caller within which the run of its request ends. */
const DEPARTED_RUN_MS = 500;

/** Longest time beyond what the caller has left that an instance may be handed. */
const DEADLINE_SLACK_MS = 500;

/** Time after which a call that was not started is not started any more. */
const SETTLE_MS = 500;

/** Calls by which two nodes can learn about each other before one is held up. */
const WARM_UP_CALLS = 3;

const WARM_UP_REMAINING_MS = 10_000;

interface CallOptions {
  readonly isIdempotent: boolean;
  readonly remainingMs: number;
}

type SendCall = (
  id: string,
  options: CallOptions,
  cancellation?: Cancellation,
) => Promise<PeerReport>;

interface LinkedOptions extends HeldLinkOptions {
  readonly isClockKnown?: boolean;
}

interface Setup {
  readonly instance: InstanceServer;
  readonly link: HeldLink;
  readonly send: SendCall;
}

function buildMetadata(id: string, { isIdempotent, remainingMs }: CallOptions): CallMetadata {
  const deadlineAtMs = performance.now() + remainingMs;
  return {
    attemptId: `origin.${id}`,
    requestId: id,
    route: brandText('route'),
    instanceId: brandText(INSTANCE_ID),
    isIdempotent,
    priority: 0,
    deadlineAtMs,
    objectiveAtMs: deadlineAtMs,
  };
}

function createSend(calls: PeerCalls, processId: string): SendCall {
  return (id, options, cancellation = new Cancellation()) =>
    calls.send(
      {
        method: 'GET',
        path: '/',
        headers: ['Host', 'h', HEADER_NAMES.requestId, id],
        body: Buffer.alloc(0),
      },
      buildMetadata(id, options),
      processId,
      cancellation,
      () => {},
      () => false,
    );
}

/** Sends calls that are not held up, the last of which shows that earlier ones were read. */
async function sendUnheldCalls(send: SendCall, name: string): Promise<void> {
  for (let index = 0; index < WARM_UP_CALLS; index += 1) {
    const options = { isIdempotent: true, remainingMs: WARM_UP_REMAINING_MS };
    const { result } = await send(`${name}-${index}`, options);
    assert.equal(result.kind, 'answered');
  }
}

/** Connects a sender and the node of an instance by a link that can be held. */
async function withLink(
  run: (setup: Setup) => Promise<void>,
  { isClockKnown = true, ...linkOptions }: LinkedOptions = {},
): Promise<void> {
  const instance = new InstanceServer(INSTANCE_ID);
  const runner = createRunner(await instance.listen());
  const server = createPeerPort({
    runner,
    processId: PROCESS_ID,
    ...PEER_PORT_PARTS,
  });
  const link = new HeldLink(await openServer(server, HOST, 0), linkOptions);
  const calls = new PeerCalls({ host: HOST, port: await link.listen() }, NO_REVISIONS);
  const send = createSend(calls, PROCESS_ID);
  try {
    if (isClockKnown) await sendUnheldCalls(send, 'before');
    await run({ instance, link, send });
  } finally {
    calls.close();
    await link.close();
    runner.close();
    await closeServer(server);
    await instance.close();
  }
}

/** Runs a function in a setup with a node process, its instance and a sender. */
function withNodeProcess(
  run: (setup: Omit<Setup, 'link'>, pid: number) => Promise<void>,
): Promise<void> {
  const runInSetup = async ({ options, instance }: ProcessSetup): Promise<void> => {
    const node = startNodeProcess(options);
    const [, peers = 0, ready = 0, control = 0] = options.ports;
    const calls = new PeerCalls({ host: HOST, port: peers }, NO_REVISIONS);
    try {
      await waitUntilReady(ready);
      await announceInstance(control, options.instancePort, 4);
      const processId = /event=started .*process=(\S+)/.exec(node.getOutput())?.[1] ?? '';
      const send = createSend(calls, processId);
      await sendUnheldCalls(send, 'before');
      await run({ instance, send }, node.process.pid!);
    } finally {
      calls.close();
      node.process.kill('SIGKILL');
      await node.exited;
    }
  };
  return withSetup(runInSetup, [{ prefix: '/' }]);
}

function findHeldRun(instance: InstanceServer): InstanceRun | undefined {
  return instance.runs.find(({ requestId }) => requestId === HELD_CALL);
}

/** Asserts that the held call does not reach the instance, after all that was sent has arrived. */
async function assertNotStarted({ instance, send }: Omit<Setup, 'link'>): Promise<void> {
  await sendUnheldCalls(send, 'after');
  await wait(SETTLE_MS);
  assert.equal(findHeldRun(instance), undefined, 'the held call reached the instance');
}

for (const isIdempotent of [true, false]) {
  const kind = isIdempotent ? 'an idempotent' : 'a non-idempotent';

  test(`${kind} call whose deadline passed on its way is not started`, async () => {
    await withLink(async (setup) => {
      const { link, send } = setup;
      link.setState({ kind: 'delayed', delayMs: HELD_MS });
      const cancellation = new Cancellation();
      const sent = send(HELD_CALL, { isIdempotent, remainingMs: 620 }, cancellation);
      await wait(530);
      cancellation.cancel();
      await sent;
      await link.waitUntilEmpty();
      link.setState({ kind: 'open' });
      await assertNotStarted(setup);
    });
  });

  test(`${kind} call that arrives with the news that its caller left is not started`, async () => {
    await withLink(async (setup) => {
      const { link, send } = setup;
      link.setState({ kind: 'held' });
      const cancellation = new Cancellation();
      const sent = send(HELD_CALL, { isIdempotent, remainingMs: 4000 }, cancellation);
      await wait(700);
      cancellation.cancel();
      await sent;
      await wait(HELD_MS - 700);
      link.setState({ kind: 'open' });
      await assertNotStarted(setup);
    });
  });

  test(`${kind} call to a frozen process is not started when its deadline has passed`, async () => {
    await withNodeProcess(async (setup, pid) => {
      process.kill(pid, 'SIGSTOP');
      const cancellation = new Cancellation();
      const sent = setup.send(HELD_CALL, { isIdempotent, remainingMs: 620 }, cancellation);
      await wait(530);
      cancellation.cancel();
      await sent;
      await wait(HELD_MS - 530);
      process.kill(pid, 'SIGCONT');
      await assertNotStarted(setup);
    });
  });
}

test('the first call to a process is not started when it was held up', async () => {
  await withLink(
    async (setup) => {
      const { link, send } = setup;
      link.setState({ kind: 'delayed', delayMs: HELD_MS });
      const cancellation = new Cancellation();
      const sent = send(HELD_CALL, { isIdempotent: true, remainingMs: 4000 }, cancellation);
      await wait(700);
      cancellation.cancel();
      await sent;
      await link.waitUntilEmpty();
      link.setState({ kind: 'open' });
      await assertNotStarted(setup);
    },
    { isClockKnown: false },
  );
});

test('a call that is held up like the first one to its process is not started', async () => {
  await withLink(
    async (setup) => {
      const { link, send } = setup;
      link.setState({ kind: 'delayed', delayMs: 600 });
      const cancellation = new Cancellation();
      const sent = send(HELD_CALL, { isIdempotent: true, remainingMs: 6000 }, cancellation);
      await wait(1300);
      cancellation.cancel();
      await sent;
      await link.waitUntilEmpty();
      link.setState({ kind: 'open' });
      await assertNotStarted(setup);
    },
    { isClockKnown: false },
  );
});

test('the first call to a process is run once and answered', async () => {
  await withLink(
    async ({ instance, send }) => {
      const { result } = await send(HELD_CALL, { isIdempotent: false, remainingMs: 4000 });
      assert.equal(result.kind, 'answered');
      assert.equal(instance.runs.length, 1);
    },
    { isClockKnown: false },
  );
});

test('a queued call whose caller left is not started before it could be resumed', async () => {
  await withLink(async (setup) => {
    const { instance, send } = setup;
    instance.executionTimeMs = 250;
    const running = send('running', { isIdempotent: false, remainingMs: 4000 });
    const cancellation = new Cancellation();
    const sent = send(HELD_CALL, { isIdempotent: true, remainingMs: 4000 }, cancellation);
    await wait(150);
    cancellation.cancel();
    await Promise.all([running, sent]);
    await assertNotStarted(setup);
  });
});

test('a queued call whose caller left is not started when resets are lost', async () => {
  await withLink(
    async (setup) => {
      const { instance, send } = setup;
      instance.executionTimeMs = BUSY_MS;
      const running = send('running', { isIdempotent: false, remainingMs: 4000 });
      const cancellation = new Cancellation();
      const sent = send(HELD_CALL, { isIdempotent: true, remainingMs: 4000 }, cancellation);
      await wait(150);
      cancellation.cancel();
      await Promise.all([running, sent]);
      await assertNotStarted(setup);
    },
    { losesResets: true },
  );
});

for (const linkOptions of [{}, { losesResets: true }]) {
  const name = linkOptions.losesResets ? ', when resets are lost' : '';

  test(`a run on a slow link ends soon after its caller has left${name}`, async () => {
    await withLink(async (setup) => {
      const { instance, link, send } = setup;
      instance.executionTimeMs = 2 * HELD_MS;
      link.setState({ kind: 'delayed', delayMs: 230 });
      const cancellation = new Cancellation();
      const sent = send(HELD_CALL, { isIdempotent: true, remainingMs: 4000 }, cancellation);
      while (!findHeldRun(instance)) await wait(10);
      cancellation.cancel();
      await wait(DEPARTED_RUN_MS);
      assert.equal(instance.runningRequests, 0);
      await sent;
    }, linkOptions);
  });
}

test('a held call hands its instance no more time than its caller has left', async () => {
  await withLink(async ({ instance, link, send }) => {
    link.setState({ kind: 'delayed', delayMs: HELD_MS });
    const deadlineAtMs = performance.now() + 4000;
    const sent = send(HELD_CALL, { isIdempotent: false, remainingMs: 4000 });
    await sent;
    const run = findHeldRun(instance);
    // A node may also refuse the call, which hands over no time.
    if (!run) return;
    const excessMs = run.atMs + run.deadlineMs - deadlineAtMs;
    assert.ok(excessMs <= DEADLINE_SLACK_MS, `${Math.round(excessMs)} ms too much`);
  });
});

test('a call that is held up by 100 ms and has time left is run and answered', async () => {
  await withLink(async ({ instance, link, send }) => {
    link.setState({ kind: 'delayed', delayMs: 100 });
    const { result } = await send(HELD_CALL, { isIdempotent: false, remainingMs: 4000 });
    assert.equal(result.kind, 'answered');
    assert.ok(findHeldRun(instance));
  });
});
