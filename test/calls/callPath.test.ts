import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeHopBudgetMs } from '../../src/core/calls/forward.js';
import { NOOP_OBSERVER, type SpillOverReason } from '../../src/core/calls/observer.js';
import {
  buildView,
  formatAnswer,
  createDispatcher,
  send,
  startEntry,
  startInstanceNode,
  startMesh,
} from './fakes.js';

// Guards against losing the body, the headers or the request id of a forwarded call.
test('a call is forwarded through two nodes and its complete response is returned', async () => {
  const dispatcher = createDispatcher();
  const entry = await startMesh({ n1: dispatcher });
  const answer = await send(
    entry.port,
    { path: '/x?y=1', headers: { 'x-own': 'kept', 'lycheelane-depth': '2' } },
    'pad 4',
  );
  assert.equal(formatAnswer(answer), '200');
  assert.equal(answer.text, 'done');
  assert.equal(answer.headers['lycheelane-version'], '7');
  assert.equal(answer.headers['lycheelane-load'], undefined);
  const [call] = dispatcher.calls;
  assert.equal(call?.body.toString(), 'pad 4');
  assert.equal(call?.path, '/x?y=1');
  assert.equal(call?.headers['x-own'], 'kept');
  assert.equal(call?.depth, 2);
  assert.equal(call?.requestId, answer.headers['lycheelane-request']);
});

// Guards against a needless hop when the only instance is on this host.
test('a call for an instance on this host goes to the local dispatcher', async () => {
  const dispatcher = createDispatcher();
  const { port } = await startInstanceNode('n1', dispatcher);
  const answer = await send(port);
  assert.equal(answer.text, 'done');
  assert.equal(dispatcher.calls.length, 1);
});

// Guards against a deadline at an inner hop that ends after that of the outer hop.
test('the time budget shrinks at each hop', () => {
  assert.deepEqual([1000, 20, 5, 1].map(computeHopBudgetMs), [996, 18, 4, 0]);
});

// Guards against spill-overs that are not reported to the observer.
test('a spill-over to another data centre is reported with its reason', async () => {
  const { port } = await startInstanceNode('n1', createDispatcher());
  const far = buildView({ nodeId: 'n1', dataCentre: 'b', callPort: port });
  const reported: [string, SpillOverReason][] = [];
  const observer = {
    ...NOOP_OBSERVER,
    recordSpillOver: (route: string, reason: SpillOverReason) => reported.push([route, reason]),
  };
  const entry = await startEntry([far], { observer });
  assert.equal(formatAnswer(await send(entry.port)), '200');
  assert.deepEqual(reported, [['book', 'none-usable']]);
});
