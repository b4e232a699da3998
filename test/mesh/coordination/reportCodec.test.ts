/** Guards against reports and answers that lose content, and against odd values in them. */
import assert from 'node:assert/strict';
import { validateHeaderValue } from 'node:http';
import { test } from 'node:test';
import type { CoordinatorAnswer, CoordinatorReport } from '../../../src/mesh/coordination/model.js';
import {
  decodeAnswer,
  decodeReport,
  encodeAnswer,
  encodeReport,
} from '../../../src/mesh/coordination/reportCodec.js';
import { brandText } from '../../../src/types/ids.js';
import { formatNested } from '../../../standins/mesh/oddValues.js';

const NESTED = formatNested(5000).text;

function buildReport(accounts: number): CoordinatorReport {
  const tokens = Array.from({ length: accounts }, (_, index) => ({
    account: brandText<CoordinatorReport['needs'][number]['account']>(`kündin ${index}`),
    tokens: index,
  }));
  return {
    node: brandText('n-1'),
    process: 'p-1',
    steadyMs: 1200,
    mayBridge: true,
    needs: tokens,
    returns: tokens.slice(0, 1),
    holds: [],
    runs: {
      service: brandText('pads'),
      version: brandText('1.2'),
      instanceId: brandText('i-1'),
      routes: [{ route: brandText('r'), runs: 3, failures: 1, times: [0, 2, 1] }],
    },
  };
}

for (const [accounts, isSmall] of [
  [2, true],
  [1000, false],
] as const) {
  test(`a report on ${accounts} accounts and its answer arrive whole`, async () => {
    const report = buildReport(accounts);
    const { text, body } = await encodeReport(report);
    validateHeaderValue('mesh-coordinator', text);
    assert.equal(body.length === 0, isSmall);
    assert.ok(text.length < 4096);
    assert.deepEqual(await decodeReport(text, body), report);
    const answer: CoordinatorAnswer = {
      grants: report.needs.map((need) => ({ ...need, lifeMs: 1000, retryAfterMs: 20 })),
      rollouts: [
        {
          service: brandText('pads'),
          targetVersion: brandText('1.3'),
          state: 'running',
          share: 0.06,
        },
      ],
    };
    const encoded = await encodeAnswer(answer);
    const decoded = await decodeAnswer(encoded.text, encoded.body, 'peer');
    assert.deepEqual(decoded._unsafeUnwrap(), answer);
  });
}

const REPORT = { node: 'n', process: 'p', steadyMs: 1, mayBridge: false };
const RUNS = { service: 's', version: 'v', instanceId: 'i', routes: [] };

test('a report whose empty lists are omitted is accepted', async () => {
  assert.ok(await decodeReport(JSON.stringify(REPORT), Buffer.alloc(0)));
});

const ODD_REPORTS: readonly (readonly [title: string, change: object])[] = [
  ['no node', { node: undefined }],
  ['a process with a line end', { process: 'p\r\nX: y' }],
  ['a negative time', { steadyMs: -1 }],
  ['a time as text', { steadyMs: '1' }],
  ['needs that are no list', { needs: {} }],
  ['a need of null', { needs: [null] }],
  ['a need of half a token', { needs: [['a', 0.5]] }],
  ['a need of 1e308 tokens', { needs: [['a', 1e308]] }],
  ['a need of an account without a name', { needs: [['', 1]] }],
  ['negative returns', { returns: [['a', -1]] }],
  ['holds of nothing', { holds: [['a']] }],
  ['more needs than accounts can be', { needs: Array(10_001).fill(['a', 1]) }],
  ['runs of null', { runs: null }],
  ['runs of a route that is a number', { runs: { ...RUNS, routes: [7] } }],
  ['runs without an instance', { runs: { ...RUNS, instanceId: undefined } }],
  [
    'times that are text',
    { runs: { ...RUNS, routes: [{ route: 'r', runs: 1, failures: 0, times: 'x' }] } },
  ],
];
for (const [title, change] of ODD_REPORTS) {
  test(`a report with ${title} is refused`, async () => {
    const text = JSON.stringify({ ...REPORT, ...change });
    assert.equal(await decodeReport(text, Buffer.alloc(0)), undefined);
  });
}

test('reports that are no JSON or not deflated are refused', async () => {
  for (const text of ['', 'null', '7', '[]', '{', NESTED, 'deflated']) {
    assert.equal(await decodeReport(text, Buffer.from('x')), undefined, text.slice(0, 20));
  }
});

test('odd answers are refused as a whole', async () => {
  const grant = { account: 'a', tokens: 1, lifeMs: 1000, retryAfterMs: 0 };
  const directive = { service: 's', targetVersion: 'v', state: 'running', share: 0.1 };
  const odd: object[] = [
    {},
    { grants: [grant] },
    { grants: [{ ...grant, tokens: 1.5 }], rollouts: [] },
    { grants: [{ ...grant, tokens: -1 }], rollouts: [] },
    { grants: [{ ...grant, lifeMs: 1e9 }], rollouts: [] },
    { grants: [{ ...grant, retryAfterMs: null }], rollouts: [] },
    { grants: [null], rollouts: [] },
    { grants: [], rollouts: [{ ...directive, state: 'paused' }] },
    { grants: [], rollouts: [{ ...directive, share: 2 }] },
    { grants: [], rollouts: [{ ...directive, targetVersion: '' }] },
  ];
  for (const value of odd) {
    const decoded = await decodeAnswer('json', Buffer.from(JSON.stringify(value)), 'peer');
    assert.ok(decoded.isErr(), JSON.stringify(value));
  }
  for (const text of ['', 'null', '{', NESTED]) {
    assert.ok((await decodeAnswer('json', Buffer.from(text), 'peer')).isErr());
    assert.ok((await decodeAnswer('deflated', Buffer.from(text), 'peer')).isErr());
  }
});
