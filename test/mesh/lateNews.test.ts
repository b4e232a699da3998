/** Calls between nodes whose age does not show in their first bytes, or on the clock as known. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Server } from 'node:http';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { CallMetadata, HttpRequest, RunReport } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { HeldLink } from '../../standins/mesh/heldLink.js';
import { wait } from '../../standins/mesh/meshFleet.js';
import { NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const HOST = '127.0.0.1';
const PROCESS_ID = 'p-1';
const DEADLINE_MS = 4000;

/** Time that each message of a held-up exchange is under way. */
const HELD_MS = 900;

/** Size of a body that is still on its way when its headers have arrived. */
const BODY_BYTES = 8 * 1024 * 1024;

/** Longest time beyond what the caller has left that an instance may be handed. */
const DEADLINE_SLACK_MS = 500;

interface RecordedRun {
  readonly requestId: string;
  readonly atMs: number;
  readonly deadlineAtMs: number;
}

type SendCall = (id: string, cancellation: Cancellation, body?: Buffer) => Promise<unknown>;

interface Setup {
  readonly runs: RecordedRun[];
  readonly link: HeldLink;
  readonly server: Server;
  readonly send: SendCall;
}

function buildMetadata(id: string): CallMetadata {
  const deadlineAtMs = performance.now() + DEADLINE_MS;
  return {
    attemptId: `origin.${id}`,
    requestId: id,
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent: false,
    priority: 0,
    deadlineAtMs,
    objectiveAtMs: deadlineAtMs,
  };
}

/** Records its calls; both ends of the link are in this process and share a clock. */
function createRecordingRunner(runs: RecordedRun[]): LocalRunner {
  const runner = {
    async run(_request: HttpRequest, call: CallMetadata): Promise<RunReport> {
      const { requestId, deadlineAtMs } = call;
      runs.push({ requestId, atMs: performance.now(), deadlineAtMs });
      const response = { status: 200, headers: [], body: Buffer.from('done') };
      return { result: { kind: 'answered', response }, load: undefined };
    },
    checkRoom: () => undefined,
    getMeanMs: () => 0,
    getLoad: () => undefined,
  };
  return runner as unknown as LocalRunner;
}

async function withLink(run: (setup: Setup) => Promise<void>): Promise<void> {
  const runs: RecordedRun[] = [];
  const server = createPeerPort({
    runner: createRecordingRunner(runs),
    processId: PROCESS_ID,
    ...PEER_PORT_PARTS,
  });
  const link = new HeldLink(await openServer(server, HOST, 0));
  const calls = new PeerCalls({ host: HOST, port: await link.listen() }, NO_REVISIONS);
  const send: SendCall = (id, cancellation, body = Buffer.alloc(0)) => {
    const headers = ['Host', 'h', HEADER_NAMES.requestId, id];
    return calls.send(
      { method: 'POST', path: '/', headers, body },
      buildMetadata(id),
      PROCESS_ID,
      cancellation,
      () => {},
      () => false,
    );
  };
  try {
    await run({ runs, link, server, send });
  } finally {
    calls.close();
    await link.close();
    await closeServer(server);
  }
}

/** Waits until a node has received the head of a call, whose body it may still have to ask for. */
async function waitForHead(server: Server): Promise<void> {
  await Promise.race([once(server, 'request'), once(server, 'checkContinue')]);
}

test('a call is not started for a caller that left after a held-up exchange', async () => {
  await withLink(async ({ runs, link, send }) => {
    link.setState({ kind: 'delayed', delayMs: HELD_MS });
    const cancellation = new Cancellation();
    const sent = send('held', cancellation);
    // The refusal has come back after two ways, and the second attempt is on its way.
    await wait(2 * HELD_MS + 100);
    cancellation.cancel();
    const leftAtMs = performance.now();
    await sent;
    await link.waitUntilEmpty();
    link.setState({ kind: 'open' });
    await wait(200);
    const late = runs.find(({ atMs }) => atMs - leftAtMs > DEADLINE_SLACK_MS);
    const lateMs = Math.round((late?.atMs ?? leftAtMs) - leftAtMs);
    assert.equal(late, undefined, `started ${lateMs} ms after its caller left`);
  });
});

test('a held-up exchange that told the clock does not extend the deadline of a call', async () => {
  await withLink(async ({ runs, link, send }) => {
    link.setState({ kind: 'delayed', delayMs: HELD_MS });
    const deadlineAtMs = performance.now() + DEADLINE_MS;
    await send('held', new Cancellation());
    for (const run of runs) {
      const excessMs = run.deadlineAtMs - deadlineAtMs;
      assert.ok(excessMs <= DEADLINE_SLACK_MS, `${Math.round(excessMs)} ms too much`);
    }
  });
});

test('a call whose body is held up is not started after its caller left', async () => {
  await withLink(async ({ runs, link, server, send }) => {
    await send('before', new Cancellation());
    const cancellation = new Cancellation();
    const sent = send('held', cancellation, Buffer.alloc(BODY_BYTES));
    await waitForHead(server);
    link.setState({ kind: 'delayed', delayMs: HELD_MS });
    await wait(200);
    cancellation.cancel();
    const leftAtMs = performance.now();
    await sent;
    await link.waitUntilEmpty();
    link.setState({ kind: 'open' });
    await wait(200);
    const run = runs.find(({ requestId }) => requestId === 'held');
    const lateMs = Math.round((run?.atMs ?? leftAtMs) - leftAtMs);
    assert.equal(run, undefined, `started ${lateMs} ms after its caller left`);
  });
});

test('a call whose body is held up is run while its caller is there', async () => {
  await withLink(async ({ runs, link, server, send }) => {
    await send('before', new Cancellation());
    const sent = send('slow', new Cancellation(), Buffer.alloc(BODY_BYTES));
    await waitForHead(server);
    link.setState({ kind: 'delayed', delayMs: HELD_MS });
    await sent;
    assert.equal(runs.filter(({ requestId }) => requestId === 'slow').length, 1);
  });
});
