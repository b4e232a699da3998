/** What a source knows of the node records, and what it answers to the nodes that follow it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ChangeFollower,
  type FollowedChanges,
  type FollowInterruption,
} from '../../src/mesh/changeFollower.js';
import { answerChangeRequest } from '../../src/mesh/changeRequests.js';
import type { SourceNode } from '../../src/mesh/configSources.js';
import { encodeDeflated } from '../../src/mesh/deflatedJson.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import { chooseWatchRole } from '../../src/mesh/followedSources.js';
import { KindPosition, type InterruptReason } from '../../src/mesh/kindPosition.js';
import { decodeNodesAnswer, NodeAnswers, type NodesRequest } from '../../src/mesh/nodeAnswers.js';
import { NodeHistory } from '../../src/mesh/nodeHistory.js';
import { chooseChangePauseMs, chooseWatchWaitMs } from '../../src/mesh/primaryWatchers.js';
import { Cancellation } from '../../src/mesh/signal.js';
import type { StoreEvent } from '../../src/mesh/store.js';
import { StoreContact } from '../../src/mesh/storeContact.js';
import { brandText } from '../../src/types/ids.js';
import { waitMs as wait } from '../../src/utils/backoff.js';
import { PEER_PORT_PARTS } from './peerPortParts.js';

function buildObject(name: string, revision: number) {
  return { name, revision, value: { of: name } };
}

function buildStored(name: string, revision: number): StoreEvent {
  return { kind: 'stored', object: buildObject(name, revision) };
}

function buildHistory(): NodeHistory {
  const history = new NodeHistory();
  history.applyList({ objects: [buildObject('a', 3), buildObject('b', 5)], revision: 6 });
  return history;
}

test('a history tells the latest change of each record after a revision', () => {
  const history = buildHistory();
  assert.equal(history.findChanges(5), undefined, 'removals before the list are not known');
  assert.deepEqual(history.findChanges(6), []);
  history.applyEvent(buildStored('a', 8));
  history.applyEvent({ kind: 'removed', name: 'b', revision: 9 });
  history.applyEvent(buildStored('a', 10));
  const removal: StoreEvent = { kind: 'removed', name: 'b', revision: 9 };
  assert.deepEqual(history.findChanges(6), [removal, buildStored('a', 10)]);
  assert.deepEqual(history.findChanges(9), [buildStored('a', 10)]);
  history.applyEvent(buildStored('b', 12));
  assert.deepEqual(history.findChanges(6), [buildStored('a', 10), buildStored('b', 12)]);
  history.forget();
  assert.equal(history.findChanges(12), undefined);
});

test('a history that has forgotten a removal does not claim to be complete', () => {
  const history = buildHistory();
  for (let index = 0; index < 600; index += 1) {
    history.applyEvent({ kind: 'removed', name: `n-${index}`, revision: 10 + index });
  }
  assert.equal(history.findChanges(10), undefined);
  assert.equal(history.findChanges(600)?.length, 9);
});

function createAnswers() {
  const history = buildHistory();
  const position = new KindPosition();
  position.recordSynced(6);
  const contact = new StoreContact();
  contact.recordRead(performance.now());
  return { history, position, contact, answers: new NodeAnswers({ history, position, contact }) };
}

const REQUEST: NodesRequest = { revision: 6, era: 0, waitMs: 1500 };

test('an answer waits for all changes of one response of the store', async () => {
  const { history, position, answers } = createAnswers();
  const pending = answers.answer(REQUEST);
  for (const event of [buildStored('c', 7), buildStored('d', 8)]) {
    history.applyEvent(event);
    position.recordSynced(event.kind === 'stored' ? event.object.revision : 0);
  }
  position.recordSynced(9);
  const events = [buildStored('c', 7), buildStored('d', 8)];
  assert.deepEqual(await pending, { kind: 'changes', revision: 9, events });
});

test('a request of before the history gets all records, others may get none', async () => {
  const { answers } = createAnswers();
  const listed = await answers.answer({ ...REQUEST, revision: 2 });
  assert.equal(listed.kind === 'list' && listed.objects.length, 2);
  const empty = await answers.answer({ ...REQUEST, waitMs: 20 });
  assert.deepEqual(empty, { kind: 'changes', revision: 6, events: [] });
});

test('a node that stops reading the store says so at once', async () => {
  const { contact, answers } = createAnswers();
  const startedAtMs = performance.now();
  const pending = answers.answer(REQUEST);
  contact.recordLost();
  assert.deepEqual(await pending, { kind: 'unknown', hasLostStore: true });
  assert.ok(performance.now() - startedAtMs < 500);
  assert.deepEqual(await answers.answer(REQUEST), { kind: 'unknown', hasLostStore: true });
});

test('a node that is about to read the store answers once it has, or has failed to', async () => {
  for (const isRead of [true, false]) {
    const { history, position, contact, answers } = createAnswers();
    contact.recordLost();
    contact.recordCall();
    const pending = answers.answer(REQUEST);
    await wait(50);
    if (isRead) contact.recordRead(performance.now());
    else contact.recordLost();
    history.applyEvent(buildStored('c', 7));
    position.recordSynced(7);
    const changes = { kind: 'changes', revision: 7, events: [buildStored('c', 7)] };
    assert.deepEqual(await pending, isRead ? changes : { kind: 'unknown', hasLostStore: true });
  }
});

test('a node answers no request of another era of the store', async () => {
  const { answers } = createAnswers();
  assert.deepEqual(await answers.answer({ ...REQUEST, era: 1 }), { kind: 'unknown' });
});

test('malformed requests and answers are refused, not believed', async () => {
  for (const text of ['', 'null', '[]', '{"revision":1}', '{"revision":"1","era":0,"waitMs":1}']) {
    const reply = answerChangeRequest(['mesh-nodes', text], PEER_PORT_PARTS.changeAnswers);
    assert.equal(reply, 'malformed', text);
  }
  const odd: object[] = [
    [],
    { kind: 'changes' },
    { kind: 'changes', revision: 3, events: [{ kind: 'stored' }] },
    { kind: 'changes', revision: 3, events: [{ kind: 'moved', name: 'a', revision: 3 }] },
    { kind: 'changes', revision: '3', events: [] },
    { kind: 'list', revision: 3, objects: [{ name: '', revision: 1 }] },
    { kind: 'list', revision: 3, objects: null },
    { kind: 'other', revision: 3 },
  ];
  for (const value of odd) {
    const decoded = await decodeNodesAnswer(await encodeDeflated(value));
    assert.ok(decoded.isErr(), JSON.stringify(value));
  }
  assert.ok((await decodeNodesAnswer(Buffer.from('nonsense'))).isErr());
});

function buildNode(name: string, dataCentre: string, linkMbps = 100): SourceNode {
  return { nodeId: brandText(name), dataCentre: brandText(dataCentre), linkMbps };
}

const LARGE = Array.from({ length: 12 }, (_, index) => buildNode(`a-${index + 10}`, 'a'));

test('the nodes of a large data centre follow its sources, half of them each', () => {
  const kinds = LARGE.map((own) => chooseWatchRole(own, LARGE).kind);
  assert.equal(kinds.filter((kind) => kind === 'source').length, 2);
  const firsts = new Set<string>();
  for (const own of LARGE) {
    const role = chooseWatchRole(own, [...LARGE, buildNode('b-1', 'b', 1000)]);
    if (role.kind === 'follower') firsts.add(role.sources[0]!.nodeId);
  }
  assert.deepEqual([...firsts].sort(), ['a-10', 'a-11'], 'sources are of the data centre');
  assert.equal(chooseWatchRole(LARGE[5]!, LARGE.slice(0, 5)).kind, 'independent');
});

test('sources renew their watches often, and share no call of a change with the fleet', () => {
  const choose = (kind: 'follower' | 'independent') =>
    chooseWatchWaitMs(LARGE[5]!.nodeId, LARGE, kind, 2000);
  assert.ok(choose('follower') < choose('independent'));
  assert.ok(chooseChangePauseMs(195, 'source') < chooseChangePauseMs(195));
});

test('a source that replaces others renews its watches as often as a primary watcher', () => {
  const choose = (own: SourceNode) => chooseWatchWaitMs(own.nodeId, LARGE, 'source', 2000);
  assert.equal(choose(LARGE[5]!), choose(LARGE[0]!));
});

interface Asked {
  readonly follower: ChangeFollower<SourceNode>;
  readonly asked: string[];
}

function createFollower(
  reply: (name: string) => FollowedChanges | 'store-lost' | undefined,
  onAsk: () => void = () => {},
): Asked {
  const asked: string[] = [];
  const follower = new ChangeFollower({
    kind: 'nodes',
    log: SILENT_LOG,
    own: () => LARGE[5]!,
    listNodes: () => LARGE,
    chooseRole: chooseWatchRole,
    request: async ({ nodeId }) => {
      asked.push(nodeId);
      onAsk();
      return reply(nodeId);
    },
  });
  return { follower, asked };
}

const NEWS: FollowedChanges = { kind: 'changes', changes: { events: [], revision: 9 } };

function createInterruption(reason?: InterruptReason): FollowInterruption {
  return { cancellation: new Cancellation(), getReason: () => reason };
}

test('a source that fails is left for the other, and for the store when both fail', async () => {
  const first = createFollower(() => undefined);
  assert.deepEqual(await first.follower.follow(6, createInterruption()), { kind: 'store' });
  assert.deepEqual(first.asked.slice().sort(), ['a-10', 'a-11']);
  assert.deepEqual(await first.follower.follow(6, createInterruption()), { kind: 'store' });
  assert.deepEqual(first.asked.slice(2).sort(), ['a-12', 'a-13'], 'the next ones are asked');
  const second = createFollower((name) => (name === 'a-11' ? NEWS : undefined));
  assert.equal(await second.follower.follow(6, createInterruption()), NEWS);
});

test('a source that is behind other nodes is left at once for the other one', async () => {
  const interruption = createInterruption('behind');
  const { follower, asked } = createFollower(
    () => NEWS,
    () => interruption.cancellation.cancel(),
  );
  assert.deepEqual(await follower.follow(6, interruption), { kind: 'again' });
  assert.equal(asked.length, 1);
  assert.equal(await follower.follow(6, createInterruption()), NEWS);
  assert.notEqual(asked[1], asked[0]);
});

test('sources without evidence are all left for the nodes after them', async () => {
  const interruption = createInterruption('unconfirmed');
  const { follower, asked } = createFollower(
    () => NEWS,
    () => interruption.cancellation.cancel(),
  );
  assert.deepEqual(await follower.follow(6, interruption), { kind: 'again' });
  assert.equal(await follower.follow(6, createInterruption()), NEWS);
  assert.ok(['a-12', 'a-13'].includes(asked[1]!), asked.join());
});

test('sources that are without the store are replaced by two more nodes at a time', async () => {
  const { follower, asked } = createFollower(() => 'store-lost');
  const startedAtMs = performance.now();
  const kinds = new Set<string>();
  while (performance.now() - startedAtMs < 2800 && !kinds.has('store')) {
    kinds.add((await follower.follow(6, createInterruption())).kind);
  }
  assert.deepEqual([...kinds], ['again', 'store'], 'the third two are the node itself and another');
  assert.deepEqual([...new Set(asked)].sort(), ['a-10', 'a-11', 'a-12', 'a-13']);
  const elapsedMs = performance.now() - startedAtMs;
  assert.ok(elapsedMs >= 2000, `${Math.round(elapsedMs)} ms`);
  await wait(2000);
  asked.length = 0;
  await follower.follow(6, createInterruption());
  assert.deepEqual(asked.slice().sort(), ['a-10', 'a-11'], 'they are asked again later');
  assert.deepEqual(await follower.follow(6, createInterruption()), { kind: 'store' });
  assert.equal(asked.length, 2, 'and left again at once');
});
