/** Messages between nodes with values that cannot be meant: they end no process and no call. */
import assert from 'node:assert/strict';
import { createServer, validateHeaderValue } from 'node:http';
import { test } from 'node:test';
import { applyDelta, type ConfigDelta } from '../../src/mesh/configDelta.js';
import { decodeConfigRequest } from '../../src/mesh/configAnswers.js';
import { KindPosition } from '../../src/mesh/kindPosition.js';
import type { CallMetadata, HttpResponse, MeshConfig } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import {
  decodeMetadata,
  decodeResult,
  encodeMetadata,
  encodeResult,
  RESULT_HEADER,
} from '../../src/mesh/peerMessages.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText, brandVersion } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { formatNested } from '../../standins/mesh/oddValues.js';

const RESPONSE: HttpResponse = { status: 200, headers: [], body: Buffer.alloc(0) };

const NESTED = formatNested(5000).text;

const TERMS: readonly unknown[] = ['p.1', 'r', 'i-1', 1, 0, 500, 300];

const ODD_TERMS: readonly (readonly [title: string, index: number, value: unknown])[] = [
  ['a number as attempt', 0, 7],
  ['an empty attempt', 0, ''],
  ['a route that is an object', 1, {}],
  ['an instance that would end the header', 2, 'i-1\r\nX: y'],
  ['a negative priority', 4, -1],
  ['a priority of 1e308', 4, 1e308],
  ['a priority as text', 4, '0'],
  ['a remaining time of 1e308', 5, 1e308],
  ['a remaining time beyond any timer', 5, 2 ** 31],
  ['no remaining time', 5, null],
  ['a remaining time as text', 5, '500'],
  ['an objective of null', 6, null],
  ['a process that is a number', 7, 4],
];
for (const [title, index, value] of ODD_TERMS) {
  test(`a call with ${title} is not run`, () => {
    const terms = [...TERMS];
    terms[index] = value;
    assert.equal(decodeMetadata(JSON.stringify(terms), 'q-1', 1000), undefined);
  });
}

test('a call whose objective or deadline has passed is still readable', () => {
  const terms = [...TERMS.slice(0, 5), -20, -40_000];
  assert.equal(decodeMetadata(JSON.stringify(terms), 'q-1', 1000)?.metadata.deadlineAtMs, 980);
});

for (const text of ['r\u010d\u010a', 'a\u007fb\u0000', '\ud800', '\u2028', '"\\']) {
  test(`a header between nodes can hold ${JSON.stringify(text)}`, () => {
    const sent: CallMetadata = {
      attemptId: 'p.1',
      requestId: 'q-1',
      route: brandText(text),
      instanceId: brandText('i-1'),
      isIdempotent: true,
      priority: 0,
      deadlineAtMs: 2000,
      objectiveAtMs: 1500,
    };
    const terms = encodeMetadata(sent, undefined, 1000);
    assert.match(terms, /^[\x20-\x7e]+$/);
    assert.deepEqual(decodeMetadata(terms, 'q-1', 1000)?.metadata, sent);
    const report = encodeResult({ result: { kind: 'unknown', reason: text }, load: undefined });
    validateHeaderValue(RESULT_HEADER, report);
    assert.deepEqual(decodeResult(report, RESPONSE)?.result, { kind: 'unknown', reason: text });
  });
}

for (const text of ['null', '{', '7', '[]', '{}', NESTED, `{"kind":${NESTED}}`]) {
  test(`the result ${text.slice(0, 20)} of a node is no answer`, () => {
    const decoded = decodeResult(text, RESPONSE);
    assert.equal(decoded?.result.kind ?? 'unknown', 'unknown');
  });
}

const ODD_LOADS = [
  'null',
  '"1234"',
  '{"0":1}',
  '[]',
  '[null,1,1,1]',
  '[4,null,20,0]',
  '[1e308,0,20,0]',
  '[0.5,0,20,0]',
  '[4,-1,20,0]',
  '[4,0,1e999,0]',
  '[4,0,20,1e308]',
  '[4,0,20,0,null]',
  '[4,0,20,0,0,0]',
  '[4,0,20,0,1e999,0]',
  '[4,0,20,0,10,"x"]',
  `[4,0,${NESTED},0]`,
];
for (const load of ODD_LOADS) {
  test(`the load ${load.slice(0, 20)} of a node is not used, its answer is`, () => {
    const decoded = decodeResult(`{"kind":"answered","load":${load},"timing":${load}}`, RESPONSE);
    assert.equal(decoded?.result.kind, 'answered');
    assert.equal(decoded?.load, undefined);
  });
}

test('a refusal stays one whatever its retry time is', () => {
  for (const wait of ['null', '1e999', '-5', '"x"', NESTED]) {
    const text = `{"kind":"notRun","reason":"overloaded","retryAfterMs":${wait}}`;
    assert.deepEqual(decodeResult(text, RESPONSE)?.result, {
      kind: 'notRun',
      reason: 'overloaded',
      retryAfterMs: 0,
      hasArrived: false,
    });
  }
});

test('a call to a node whose result is null ends without an exception', async () => {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { [RESULT_HEADER]: 'null', 'Content-Length': 0 }).end();
  });
  const port = await openServer(server, '127.0.0.1', 0);
  const calls = new PeerCalls({ host: '127.0.0.1', port }, new RevisionExchange([]));
  const metadata: CallMetadata = {
    attemptId: 'p.1',
    requestId: 'q-1',
    route: brandText('r'),
    instanceId: brandText('i-1'),
    isIdempotent: true,
    priority: 0,
    deadlineAtMs: performance.now() + 2000,
    objectiveAtMs: performance.now() + 1000,
  };
  const request = { method: 'GET', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(0) };
  const report = await calls.send(request, metadata, 'p', new Cancellation(), () => {});
  assert.equal(report.result.kind, 'unknown');
  calls.close();
  await closeServer(server);
});

const ROUTE = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  targets: [{ service: 'pads', weight: 1 }],
  isIdempotent: true,
  timeoutMs: 1000,
  objectiveMs: 500,
  maxAttempts: 2,
  priority: 0,
};
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const DELTA = {
  fromVersion: 4,
  toVersion: 5,
  revision: 12,
  routes: [ROUTE],
  removed: [],
  limits: LIMITS,
  routeCount: 1,
  accounts: { changed: [], removed: [], count: 0 },
};
const ACCOUNT = { name: 'shop', keyDigests: ['d'], ratePerS: 1, burst: 1 };
const BASE: MeshConfig = { version: brandVersion(4), routes: new Map(), limits: LIMITS };

test('a delta with usable routes and limits applies', () => {
  const delta = JSON.parse(JSON.stringify(DELTA)) as ConfigDelta;
  assert.equal(applyDelta(BASE, delta)._unsafeUnwrap().version, 5);
});

const ODD_DELTAS: readonly (readonly [title: string, change: object])[] = [
  ['a route that is null', { routes: [null] }],
  ['a route that is a list', { routes: [[]] }],
  ['a route without targets', { routes: [{ ...ROUTE, targets: undefined }] }],
  ['a target that is null', { routes: [{ ...ROUTE, targets: [null] }] }],
  ['a weight of null', { routes: [{ ...ROUTE, targets: [{ service: 'a', weight: null }] }] }],
  ['a timeout beyond any timer', { routes: [{ ...ROUTE, timeoutMs: 2 ** 31 }] }],
  ['a host that is a number', { routes: [{ ...ROUTE, host: 7 }] }],
  ['no limits', { limits: undefined }],
  ['limits of null', { limits: null }],
  ['an idle timeout as text', { limits: { ...LIMITS, idleTimeoutMs: '1s' } }],
  ['a version as text', { toVersion: 'z' }],
  ['health paths of null', { healthPaths: null }],
  ['accounts of null', { accounts: null }],
  ['no removed accounts', { accounts: { changed: [], count: 0 } }],
  ['too few accounts', { accounts: { changed: [ACCOUNT], removed: [], count: 2 } }],
  [
    'an account with a line end',
    { accounts: { changed: [{ ...ACCOUNT, name: 'a\r\nX: y' }], removed: [], count: 1 } },
  ],
  [
    'a rate as text',
    { accounts: { changed: [{ ...ACCOUNT, ratePerS: '1' }], removed: [], count: 1 } },
  ],
  [
    'keys that are no list',
    { accounts: { changed: [{ ...ACCOUNT, keyDigests: 'd' }], removed: [], count: 1 } },
  ],
  ['a health path with a line end', { healthPaths: [{ service: 'a', path: '/h\r\nX: y' }] }],
];
for (const [title, change] of ODD_DELTAS) {
  test(`a delta with ${title} is refused as a whole`, () => {
    const delta = { ...DELTA, ...change } as unknown as ConfigDelta;
    assert.ok(applyDelta(BASE, delta).isErr());
  });
}

test('odd requests for the configuration are refused, odd revisions ignored', () => {
  for (const text of ['null', '7', '[]', '{"version":1e999,"revision":1,"waitMs":1}', NESTED]) {
    assert.equal(decodeConfigRequest(text), undefined, text.slice(0, 20));
  }
  const position = new KindPosition();
  const exchange = new RevisionExchange([position]);
  for (const text of ['9'.repeat(400), '1e308', '-1', '..', '{}', `1.${'9'.repeat(400)}`]) {
    exchange.apply(text);
  }
  assert.equal(exchange.format(), '0.0');
});
