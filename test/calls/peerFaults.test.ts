import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { BEHAVIOURS, buildBody, respond, type Behaviour } from '../../standins/faultyResponses.js';
import { send, startEntry } from './fakes.js';
import { startRawPeer } from './rawPeer.js';

/** Starts two nodes that share a script and record their behaviours for each request. */
async function startFaultyPeers() {
  const script: Behaviour[] = [];
  const done = new Map<string, Behaviour[]>();
  const start = (nodeId: string) =>
    startRawPeer(nodeId, (socket, { requestId }) => {
      const behaviour = script.shift() ?? 'answer';
      done.set(requestId, [...(done.get(requestId) ?? []), behaviour]);
      respond(socket, requestId, behaviour);
    });
  const peers = await Promise.all(['n1', 'n2'].map(start));
  const entry = await startEntry(peers.map(({ view }) => view));
  return { script, done, entry };
}

const isProven = (behaviour: Behaviour) => behaviour === 'shedWithProof';

// Guards against a response that reaches another caller or is truncated but taken for complete,
// against `not-run` without proof, and against resending a `once` call that may have run; for any
// order of faults of other nodes on shared connections.
test('calls through faulty nodes report correct outcomes and run at most once', async () => {
  const { script, done, entry } = await startFaultyPeers();
  const checkCall = async () => {
    const { status, headers, text, isComplete } = await send(entry.port);
    const id = String(headers['lycheelane-request']);
    const behaviours = done.get(id) ?? [];
    const counted = behaviours.filter((behaviour) => !isProven(behaviour));
    assert.ok(counted.length <= 1, `sent again after ${behaviours.join()}`);
    const outcome = headers['lycheelane-outcome'];
    if (outcome === 'not-run') assert.equal(counted.length, 0, `not run after ${counted[0]}`);
    if (outcome === undefined && isComplete && status === 200) assert.equal(text, buildBody(id));
  };
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.constantFrom(...BEHAVIOURS), { minLength: 1, maxLength: 8 }),
      async (behaviours) => {
        script.push(...behaviours);
        await Promise.all(behaviours.map(checkCall));
        script.length = 0;
      },
    ),
    { seed: 20_261_204, numRuns: 150 },
  );
});
